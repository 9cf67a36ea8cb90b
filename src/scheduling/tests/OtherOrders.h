// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Orders that were weighed against the one that is used, and the one
/// that is used without organisations.

#ifndef STEPLEDGE_SCHEDULING_TESTS_OTHERORDERS_H
#define STEPLEDGE_SCHEDULING_TESTS_OTHERORDERS_H

#include "scheduling/ServingLine.h"
#include "scheduling/tests/FakeInstance.h"

#include <deque>

namespace stepledge::scheduling::tests {

using Rates = std::map<OrganisationId, double>;

/// What the product does; without rates nobody is told apart.
class LineOrder : public IOrder {
public:
  explicit LineOrder(const Rates &rates) { Line.setRates(rates); }
  std::size_t pick(TimePoint now, const std::vector<WaitRank> &ranks) override;
  void noteUse(TimePoint now, const OrganisationId &organisation,
               Duration took) override;

private:
  ServingLine Line;
};

/// Start-time fair queueing among the most urgent that are waiting.
class PriorityFirst : public IOrder {
public:
  explicit PriorityFirst(const Rates &rates) : Weights(rates) {}
  std::size_t pick(TimePoint now, const std::vector<WaitRank> &ranks) override;
  void noteUse(TimePoint now, const OrganisationId &organisation,
               Duration took) override;

private:
  ShareWeights Weights;
  FairShares Shares;
};

/// Organisations take turns; in each turn one has a quantum of slot time more.
class DeficitRoundRobin : public IOrder {
public:
  explicit DeficitRoundRobin(const Rates &rates) : Weights(rates) {}
  std::size_t pick(TimePoint now, const std::vector<WaitRank> &ranks) override;
  void noteUse(TimePoint now, const OrganisationId &organisation,
               Duration took) override;

private:
  ShareWeights Weights;
  ServingLine Inner;
  std::deque<OrganisationId> Turns;
  std::map<OrganisationId, double> Credit;
};

} // namespace stepledge::scheduling::tests

#endif // STEPLEDGE_SCHEDULING_TESTS_OTHERORDERS_H
