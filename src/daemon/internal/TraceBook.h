// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The spans of requests and batches that are under way.

#ifndef STEPLEDGE_DAEMON_INTERNAL_TRACEBOOK_H
#define STEPLEDGE_DAEMON_INTERNAL_TRACEBOOK_H

#include "base/types/Ids.h"
#include "observe/ITracer.h"

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace stepledge::daemon {

class TraceBook {
public:
  using WallTime = std::chrono::system_clock::time_point;

  TraceBook(observe::ITracer &tracer, std::uint64_t seed)
      : Tracer(tracer), Chance(seed) {}

  /// Opens a request's span, under the caller's if it sent one.
  observe::TraceContext
  beginRequest(RequestId id, const std::optional<observe::TraceContext> &from,
               const std::string &name, WallTime now);
  void endRequest(RequestId id, std::vector<observe::SpanAttribute> attributes,
                  WallTime now);
  std::optional<observe::TraceContext> contextOf(RequestId id) const;

  void beginBatch(BatchId batch, RequestId request, WallTime now);
  void endBatch(BatchId batch, WallTime now);

private:
  observe::ITracer &Tracer;
  std::mt19937_64 Chance;
  std::map<RequestId, observe::Span> Requests;
  std::map<BatchId, observe::Span> Batches;
};

} // namespace stepledge::daemon

#endif // STEPLEDGE_DAEMON_INTERNAL_TRACEBOOK_H
