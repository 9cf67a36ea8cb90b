// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The calls that a leader has appended to its log and that aren't
/// committed yet.

#ifndef STEPLEDGE_CONTROL_INTERNAL_UNCOMMITTEDCALLS_H
#define STEPLEDGE_CONTROL_INTERNAL_UNCOMMITTEDCALLS_H

#include <cstdint>
#include <set>
#include <utility>

namespace stepledge::control {

class UncommittedCalls {
public:
  /// Records the call, and returns whether it is new in \p term, in which the
  /// caller leads. Calls of an earlier term are dropped, since the log may have
  /// lost them.
  bool add(std::uint64_t term, std::uint64_t proposer, std::uint64_t number) {
    if (std::exchange(Term, term) != term)
      Calls.clear();
    return Calls.emplace(proposer, number).second;
  }
  /// The call is committed; if it arrives again, it counts as new.
  void remove(std::uint64_t proposer, std::uint64_t number) {
    Calls.erase({proposer, number});
  }

private:
  std::uint64_t Term = 0;
  std::set<std::pair<std::uint64_t, std::uint64_t>> Calls;
};

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_INTERNAL_UNCOMMITTEDCALLS_H
