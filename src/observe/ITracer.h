// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Where spans go.

#ifndef STEPLEDGE_OBSERVE_ITRACER_H
#define STEPLEDGE_OBSERVE_ITRACER_H

#include "observe/types/Span.h"

namespace stepledge::observe {

class ITracer {
public:
  virtual ~ITracer() = default;

  /// Keeps \p span if its trace is sampled.
  virtual void record(const Span &span) = 0;
};

} // namespace stepledge::observe

#endif // STEPLEDGE_OBSERVE_ITRACER_H
