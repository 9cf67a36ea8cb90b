// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "session/TermHistory.h"

#include <algorithm>

namespace stepledge::session {

namespace {

/// Maximum number of terms; only long ended sessions refer to older ones.
constexpr std::size_t MaxTerms = 1024;

} // namespace

void TermHistory::addTerm(Term term, LogPosition start) {
  Starts[term] = start;
  if (Starts.size() > MaxTerms)
    Starts.erase(Starts.begin());
}

std::optional<LogPosition> TermHistory::startOf(Term term) const {
  const auto it = Starts.find(term);
  if (it == Starts.end())
    return std::nullopt;
  return it->second;
}

Inclusion TermHistory::carriesOver(Mark mark, Term upTo) const {
  // NOTE: An instance reports the terms of its log without a gap, so if both
  // ends are known, all terms in between are too.
  if (!startOf(upTo) || !startOf(mark.WrittenIn))
    return Inclusion::Unproved;
  for (auto it = Starts.upper_bound(mark.WrittenIn);
       it != Starts.end() && it->first <= upTo; ++it)
    if (mark.Position > it->second)
      return Inclusion::Lost;
  return Inclusion::Included;
}

Inclusion TermHistory::includes(Mark at, Mark mark) const {
  if (at.WrittenIn < mark.WrittenIn)
    return Inclusion::Behind;
  if (at.WrittenIn > mark.WrittenIn) {
    const auto inclusion = carriesOver(mark, at.WrittenIn);
    if (inclusion != Inclusion::Included)
      return inclusion;
  }
  return at.Position >= mark.Position ? Inclusion::Included : Inclusion::Behind;
}

Inclusion TermHistory::includesAll(Mark at, const DatabaseMarks &marks) const {
  auto worst = Inclusion::Included;
  for (const auto &it : marks)
    worst = std::max(worst, includes(at, it));
  return worst;
}

} // namespace stepledge::session
