// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What the API needs of the rest of the daemon.

#ifndef STEPLEDGE_API_IREQUESTGATEWAY_H
#define STEPLEDGE_API_IREQUESTGATEWAY_H

#include "base/types/Ids.h"
#include "base/types/Time.h"
#include "observe/types/TraceContext.h"
#include "request/types/CallerAnswer.h"
#include "request/types/CallerRequest.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace stepledge::api {

/// A request as it came from a caller.
struct CallerSubmission {
  request::CallerRequest Request;
  /// From now; the gateway makes it the request's Deadline.
  Duration TimeAllowed{0};
  std::optional<observe::TraceContext> Trace;
};

struct GatewayAnswer {
  request::CallerAnswer Answer;
  observe::TraceContext Trace;
};

/// How far the daemon is with starting and stopping.
enum class Readiness { Starting, Serving, Stopping };

class IRequestGateway {
public:
  using Done = std::function<void(const GatewayAnswer &answer)>;
  /// Empty where nothing is known of the decision.
  using Explained = std::function<void(const std::vector<std::string> &lines)>;

  virtual ~IRequestGateway() = default;

  virtual void submit(CallerSubmission submission, Done done) = 0;
  virtual void explain(const DecisionId &decision, Explained done) = 0;
  virtual std::string metricsText() const = 0;
  virtual Readiness readiness() const = 0;
};

} // namespace stepledge::api

#endif // STEPLEDGE_API_IREQUESTGATEWAY_H
