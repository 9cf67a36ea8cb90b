// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "observe/types/TraceContext.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <vector>

namespace stepledge::observe {

namespace {

constexpr std::size_t TraceDigits = 32;
constexpr std::size_t SpanDigits = 16;

bool readHex(const std::string &text, std::uint64_t &out) {
  const bool isHex = std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
  return isHex && absl::SimpleHexAtoi(text, &out);
}

} // namespace

std::optional<TraceContext> parseTraceParent(std::string_view text) {
  const std::vector<std::string> parts =
      absl::StrSplit(absl::string_view(text.data(), text.size()), '-');
  if (parts.size() != 4 || parts[0] != "00" || parts[1].size() != TraceDigits ||
      parts[2].size() != SpanDigits || parts[3].size() != 2)
    return std::nullopt;
  TraceContext out;
  std::uint64_t flags = 0;
  const bool isRead = readHex(parts[1].substr(0, SpanDigits), out.TraceHigh) &&
                      readHex(parts[1].substr(SpanDigits), out.TraceLow) &&
                      readHex(parts[2], out.Span) && readHex(parts[3], flags);
  const bool isZero = (out.TraceHigh == 0 && out.TraceLow == 0) || !out.Span;
  if (!isRead || isZero)
    return std::nullopt;
  out.Sampled = (flags & 1) != 0;
  return out;
}

std::string traceParent(const TraceContext &context) {
  return absl::StrFormat("00-%016x%016x-%016x-%02x", context.TraceHigh,
                         context.TraceLow, context.Span,
                         context.Sampled ? 1 : 0);
}

} // namespace stepledge::observe
