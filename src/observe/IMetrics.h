// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What the daemon counts.

#ifndef STEPLEDGE_OBSERVE_IMETRICS_H
#define STEPLEDGE_OBSERVE_IMETRICS_H

#include "base/types/ResultCode.h"
#include "base/types/Time.h"

#include <string>

namespace stepledge::observe {

/// One finished request.
struct AnswerSample {
  std::string Database;
  std::string Kind;
  ResultCode Code = ResultCode::Done;
  bool FromReplica = false;
  Duration Took{0};
};

class IMetrics {
public:
  virtual ~IMetrics() = default;

  virtual void noteAnswer(const AnswerSample &sample) = 0;
  virtual void noteConnections(int open) = 0;
  virtual void noteForwarded(ResultCode code) = 0;
  /// In Prometheus's text form.
  virtual std::string text() const = 0;
};

} // namespace stepledge::observe

#endif // STEPLEDGE_OBSERVE_IMETRICS_H
