// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Alternatives to the order of service that the product uses, for
/// comparison, and the product's order, with or without organisations.

#ifndef STEPLEDGE_SCHEDULING_TESTS_ALTERNATIVEORDERS_H
#define STEPLEDGE_SCHEDULING_TESTS_ALTERNATIVEORDERS_H

#include "scheduling/QueueScheduler.h"
#include "scheduling/tests/FakeInstance.h"

#include <deque>

namespace stepledge::scheduling::tests {

using Rates = std::map<OrganisationId, double>;

/// The order that the product uses; without rates all organisations are treated
/// alike.
class ProductOrder : public IServiceOrder {
public:
  explicit ProductOrder(const Rates &rates) { Scheduler.setRates(rates); }
  std::size_t pick(TimePoint now, const std::vector<WaitRank> &ranks) override;
  void noteUse(TimePoint now, const OrganisationId &organisation,
               Duration took) override;

private:
  QueueScheduler Scheduler;
};

/// Start-time fair queueing among the most urgent waiting statements.
class PriorityFirst : public IServiceOrder {
public:
  explicit PriorityFirst(const Rates &rates) : Weights(rates) {}
  std::size_t pick(TimePoint now, const std::vector<WaitRank> &ranks) override;
  void noteUse(TimePoint now, const OrganisationId &organisation,
               Duration took) override;

private:
  ShareWeights Weights;
  FairShares Shares;
};

/// Organisations take turns; each turn adds a quantum of slot time to the
/// organisation's credit.
class DeficitRoundRobin : public IServiceOrder {
public:
  explicit DeficitRoundRobin(const Rates &rates) : Weights(rates) {}
  std::size_t pick(TimePoint now, const std::vector<WaitRank> &ranks) override;
  void noteUse(TimePoint now, const OrganisationId &organisation,
               Duration took) override;

private:
  ShareWeights Weights;
  QueueScheduler Inner;
  std::deque<OrganisationId> Turns;
  std::map<OrganisationId, double> Credit;
};

} // namespace stepledge::scheduling::tests

#endif // STEPLEDGE_SCHEDULING_TESTS_ALTERNATIVEORDERS_H
