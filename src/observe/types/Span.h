// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file One hop of a trace.

#ifndef STEPLEDGE_OBSERVE_TYPES_SPAN_H
#define STEPLEDGE_OBSERVE_TYPES_SPAN_H

#include "observe/types/TraceContext.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace stepledge::observe {

struct SpanAttribute {
  std::string Name;
  std::string Value;
};

struct Span {
  TraceContext Context;
  /// The span that caused this one; 0 for a trace's first.
  std::uint64_t Parent = 0;
  std::string Name;
  /// Wall-clock time, for people; no decision looks at it.
  std::chrono::system_clock::time_point Start;
  std::chrono::system_clock::time_point End;
  std::vector<SpanAttribute> Attributes;
};

} // namespace stepledge::observe

#endif // STEPLEDGE_OBSERVE_TYPES_SPAN_H
