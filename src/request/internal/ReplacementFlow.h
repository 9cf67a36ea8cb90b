// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Replaces a lost primary: sends the driver's orders to the instances
/// and the other VMs, and records the steps.

#ifndef STEPLEDGE_REQUEST_INTERNAL_REPLACEMENTFLOW_H
#define STEPLEDGE_REQUEST_INTERNAL_REPLACEMENTFLOW_H

#include "failover/ReplacementDriver.h"
#include "request/internal/DatabaseContext.h"
#include "request/internal/ObserveFlow.h"

namespace stepledge::request {

class ReplacementFlow {
public:
  ReplacementFlow(DatabaseContext &context, ObserveFlow &observing);

  void tick(TimePoint now);
  void receivePeerReport(const PeerReport &report);
  bool isSilent(TimePoint now) const {
    return Driver.isSilent(Context.View, now);
  }
  bool needsFrequentPolling() const { return Driver.needsFrequentPolling(); }

private:
  void sendOrder(const failover::FenceInstance &order, TimePoint now);
  void sendOrder(const failover::PromoteInstance &order, TimePoint now);
  void sendOrder(const failover::FollowPrimary &order, TimePoint now);
  void sendOrder(const failover::AskPeers &order, TimePoint now);
  void recordStage(failover::ReplacementStage before, TimePoint now);

  DatabaseContext &Context;
  ObserveFlow &Observing;
  failover::ReplacementDriver Driver;
  DecisionRecord Record;
  TimePoint StartedAt;
};

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_INTERNAL_REPLACEMENTFLOW_H
