// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "request/internal/ReplacementFlow.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace stepledge::request {

namespace {

using failover::ReplacementStage;

failover::DriverSettings driverSettings(const settings::Settings &common) {
  failover::DriverSettings out;
  out.Suspect = common.Failover.Suspect;
  out.Stagger = common.Failover.Stagger;
  out.Rest = common.Failover.Rest;
  out.Leave = common.Failover.LeaveGrace + common.Failover.LeaveHold;
  out.Silence = common.Timing.Silence;
  const auto &peers = common.Peers;
  out.Rank = static_cast<int>(
      std::count_if(peers.begin(), peers.end(), [&](const auto &it) {
        return it.Number != 0 && it.Number < common.VmNumber;
      }));
  const bool hasOtherHall =
      std::any_of(peers.begin(), peers.end(),
                  [&](const auto &it) { return it.Hall != common.Hall; });
  out.AgreementNeeded = hasOtherHall ? 1 : 0;
  return out;
}

failover::TermAllotment termsOf(const settings::Settings &common) {
  return failover::TermAllotment(common.Failover.Enabled ? common.VmNumber : 0);
}

} // namespace

ReplacementFlow::ReplacementFlow(DatabaseContext &context,
                                 ObserveFlow &observing)
    : Context(context), Observing(observing),
      Driver(driverSettings(context.Common), termsOf(context.Common)) {}

void ReplacementFlow::tick(TimePoint now) {
  const auto before = Driver.stage();
  const auto orders = Driver.tick(Context.View, now);
  if (Driver.stage() != before)
    recordStage(before, now);
  for (const auto &it : orders)
    std::visit([this, now](const auto &order) { sendOrder(order, now); }, it);
}

void ReplacementFlow::receivePeerReport(const PeerReport &report) {
  Driver.receivePeerReport(report.Peer, report.Current, report.IsSilent);
}

void ReplacementFlow::sendOrder(const failover::FenceInstance &order,
                                TimePoint now) {
  Observing.sendOrder(
      order.Instance,
      {Context.Common.Dialect.Fence, {std::to_string(order.Next.Number)}, true},
      now);
}

void ReplacementFlow::sendOrder(const failover::PromoteInstance &order,
                                TimePoint now) {
  Observing.sendOrder(order.Instance,
                      {Context.Common.Dialect.Promote,
                       {std::to_string(order.Next.Number)},
                       true},
                      now);
}

void ReplacementFlow::sendOrder(const failover::FollowPrimary &order,
                                TimePoint now) {
  for (const auto &it : Context.Database.Instances)
    if (it.Id == order.Primary)
      Observing.sendOrder(order.Instance,
                          {Context.Common.Dialect.Follow,
                           {it.Address.Address, std::to_string(it.Address.Port),
                            std::to_string(order.Current.Number)},
                           true},
                          now);
}

void ReplacementFlow::sendOrder(const failover::AskPeers &order, TimePoint) {
  Context.PendingEffects.push_back(
      AskOtherHalls{Context.Database.Id, order.Current});
}

// A replacement has a decision record as requests do, so it can be queried.
void ReplacementFlow::recordStage(ReplacementStage before, TimePoint now) {
  const auto stage = Driver.stage();
  if (before == ReplacementStage::Watching) {
    StartedAt = now;
    Record = {};
    Record.Id = DecisionId(absl::StrCat(Context.Common.Vm.str(), "-",
                                        ++Context.Counters.Decisions));
    Record.Database = Context.Database.Id;
    Record.Kind = "replacement";
  }
  Note entry;
  if (stage == ReplacementStage::Asking)
    entry.Kind = NoteKind::PrimarySuspected;
  else if (stage == ReplacementStage::Fencing)
    entry.Kind = NoteKind::FencingMajority;
  else if (stage == ReplacementStage::Promoting)
    entry.Kind = NoteKind::PromotingMostAdvanced;
  else
    entry.Kind = NoteKind::ReplacementEnded;
  if (const auto primary = Context.View.primary())
    entry.Instance = *primary;
  entry.AtMark = {Context.View.term(), {}};
  Record.Entries.push_back({now - StartedAt, entry});
  if (stage != ReplacementStage::Watching)
    return;
  Record.TotalTime = now - StartedAt;
  const bool isDone = before == ReplacementStage::Promoting &&
                      Context.View.primary().has_value();
  Record.Outcome = isDone ? ResultCode::Done : ResultCode::ReplacementGivenUp;
  Context.PendingEffects.push_back(RecordDecision{std::exchange(Record, {})});
}

} // namespace stepledge::request
