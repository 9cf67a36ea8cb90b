// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file W3C trace context: who asked, and under which trace.

#ifndef STEPLEDGE_OBSERVE_TYPES_TRACECONTEXT_H
#define STEPLEDGE_OBSERVE_TYPES_TRACECONTEXT_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace stepledge::observe {

struct TraceContext {
  std::uint64_t TraceHigh = 0;
  std::uint64_t TraceLow = 0;
  std::uint64_t Span = 0;
  bool Sampled = false;

  bool operator==(const TraceContext &) const = default;
};

/// Reads a `traceparent` header; none where it isn't one.
std::optional<TraceContext> parseTraceParent(std::string_view text);
/// The header's text.
std::string traceParent(const TraceContext &context);

} // namespace stepledge::observe

#endif // STEPLEDGE_OBSERVE_TYPES_TRACECONTEXT_H
