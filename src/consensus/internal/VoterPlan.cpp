// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "consensus/internal/VoterPlan.h"

#include <utility>

namespace stepledge::consensus {

namespace {

/// A set of voters while it is changed.
class VoterPlan {
public:
  VoterPlan(const VoterCandidates &candidates, int target)
      : Voters(candidates.Voters), Spares(candidates.Spares),
        Target(static_cast<std::size_t>(target)) {}

  std::optional<VoterList> build() {
    removeSurplus();
    replaceLost();
    grow();
    if (!IsChanged)
      return std::nullopt;
    VoterList list;
    for (const auto &it : Voters)
      *list.Add() = it.Member;
    return list;
  }

private:
  using Iterator = std::vector<VoterCandidates::Voter>::iterator;

  /// Returns the most urgent loss, or the end if there is none.
  Iterator findLost() {
    const auto it = std::min_element(
        Voters.begin(), Voters.end(),
        [](const auto &a, const auto &b) { return a.Loss < b.Loss; });
    return it == Voters.end() || it->Loss == VoterLoss::None ? Voters.end()
                                                             : it;
  }

  void removeSurplus() {
    while (Voters.size() > Target) {
      const auto it = findLost();
      if (it == Voters.end() || it->Loss == VoterLoss::Suspected)
        return;
      Voters.erase(it);
      IsChanged = true;
    }
  }

  void replaceLost() {
    for (auto it = findLost(); it != Voters.end(); it = findLost()) {
      const auto lost = std::move(*it);
      Voters.erase(it);
      const bool isUrgent = lost.Loss != VoterLoss::Suspected;
      const auto most = isUrgent ? Voters.size() : votersIn(lost.Member.hall());
      if (!addSpare(most)) {
        // NOTE: it stays, so that entries are on as many disks as before.
        Voters.push_back({lost.Member, VoterLoss::None});
        continue;
      }
      IsChanged = true;
    }
  }

  void grow() {
    while (Voters.size() < Target) {
      const std::size_t needed = 1 + Voters.size() % 2;
      const auto before = Voters.size();
      for (std::size_t i = 0; i < needed && addSpare(Voters.size()); ++i)
        continue;
      if (Voters.size() < before + needed)
        return Voters.resize(before);
      IsChanged = true;
    }
  }

  /// Adds the spare in the hall with the fewest voters, which may be \p
  /// mostInHall. False if there is none.
  bool addSpare(std::size_t mostInHall) {
    auto best = Spares.end();
    for (auto it = Spares.begin(); it != Spares.end(); ++it)
      if (!hasVoterAt(it->ip()) &&
          (best == Spares.end() ||
           votersIn(it->hall()) < votersIn(best->hall())))
        best = it;
    if (best == Spares.end() || votersIn(best->hall()) > mostInHall)
      return false;
    Voters.push_back({std::move(*best), VoterLoss::None});
    Spares.erase(best);
    return true;
  }

  bool hasVoterAt(const std::string &ip) const {
    return std::any_of(Voters.begin(), Voters.end(),
                       [&](const auto &it) { return it.Member.ip() == ip; });
  }

  std::size_t votersIn(const std::string &hall) const {
    const auto n =
        std::count_if(Voters.begin(), Voters.end(),
                      [&](const auto &it) { return it.Member.hall() == hall; });
    return static_cast<std::size_t>(n);
  }

  std::vector<VoterCandidates::Voter> Voters;
  std::vector<wire::Member> Spares;
  std::size_t Target;
  bool IsChanged = false;
};

} // namespace

std::optional<VoterList> planVoters(const VoterCandidates &candidates,
                                    int target) {
  return VoterPlan(candidates, target).build();
}

} // namespace stepledge::consensus
