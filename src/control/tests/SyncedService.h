// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A service whose commits are answered once one replica has received
/// them, with instances that answer late, restart and end, and a judge that
/// compares what callers were told with the log of each promoted instance.

#ifndef STEPLEDGE_CONTROL_TESTS_SYNCEDSERVICE_H
#define STEPLEDGE_CONTROL_TESTS_SYNCEDSERVICE_H

#include "base/types/Time.h"
#include "control/IPromoter.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace stepledge::control::tests {

/// An instance of a SyncedService.
struct SyncedInstance {
  bool IsRunning = true;
  bool IsPrimary = false;
  membership::InstanceState State = membership::InstanceState::Ready;
  /// Of its log, the number of commits.
  std::uint64_t Received = 0;
  std::optional<std::uint64_t> PausedIn;
  std::uint64_t Term = 1;
  std::uint64_t StartTimeMs = 1;
  std::string Address;
  /// Time from a question to its answer, which tells the state in between.
  Duration WorkTime = milliseconds(50);
  /// The same for a PAUSE, if it differs.
  std::optional<Duration> PauseTime;
  /// The same for a DEMOTE.
  std::optional<Duration> DemoteTime;
  /// Time that a RESUME waits before it takes effect.
  Duration ResumeTime = milliseconds(1);
  /// It receives what the primary had this long ago.
  Duration Lag = milliseconds(5);
  std::uint64_t Sequence = 0;
  /// It gets nothing of what control VMs ask.
  bool IsCutFromControl = false;
};

class SyncedService : public IPromoter, public IInstanceProbe {
public:
  /// A primary "p" and \p replicas replicas "r1", "r2" and so on.
  explicit SyncedService(int replicas);

  /// One commit, replication, due answers.
  void step(TimePoint now);
  SyncedInstance &at(const std::string &id) { return Instances.at(id); }
  /// The current heartbeat of each running instance.
  std::vector<membership::InstanceRecord> heartbeats();
  /// A replica starts again with its log; only its next heartbeat tells.
  void restart(const std::string &id);
  /// The instance starts again: as primary if none leads now.
  void restartOldPrimary(const std::string &id);
  /// A replica ends; \p successor takes its log and its address.
  void end(const std::string &id);
  void succeed(const std::string &id, const std::string &successor);

  /// Whoever asked has ended; what it asked for still happens.
  void dropAnswers() { ++Asker; }

  /// Commits answered to callers.
  std::uint64_t acknowledged() const { return Acknowledged; }
  /// Commits answered to callers that a promoted instance lacked.
  std::uint64_t lost() const { return Lost; }
  int promotions() const { return Promotions; }
  /// The instance that was last ordered to lead.
  const std::optional<InstanceId> &ordered() const { return Ordered; }

  /// Time from an order to its execution; the answer comes before.
  Duration PromotionTime = milliseconds(300);
  bool AnswersOrders = true;
  bool CarriesOutOrders = true;

  void promote(const PromotionOrder &order,
               std::function<void(PromotionResult)> onDone) override;
  void
  askStatus(const membership::InstanceRecord &instance,
            std::function<void(std::optional<InstanceStatus>)> onDone) override;
  void pause(const membership::InstanceRecord &instance, Term term,
             std::function<void(std::optional<PausedStatus>)> onDone) override;
  void
  demote(const membership::InstanceRecord &instance, Term term,
         std::function<void(std::optional<InstanceStatus>)> onDone) override;
  void resume(const membership::InstanceRecord &instance,
              std::function<void(bool)> onDone) override;
  void ping(const membership::InstanceRecord &instance,
            std::function<void(bool)> onDone) override;
  void cancelRequests(const InstanceId &instance) override { (void)instance; }
  void retainConnections(const std::set<InstanceId> &instances) override {
    (void)instances;
  }

private:
  using OnStatus = std::function<void(std::optional<InstanceStatus>)>;

  void replicate(SyncedInstance &replica);
  void answerAfterWork(const InstanceId &id, Duration work,
                       const OnStatus &onDone);
  InstanceStatus statusOf(const SyncedInstance &instance) const;
  void schedule(Duration delay, std::function<void()> action);
  /// The same, unless the asker has ended by then.
  void answer(Duration delay, std::function<void()> onDone);
  SyncedInstance *running(const InstanceId &id);
  /// The same, if control VMs reach it.
  SyncedInstance *reached(const InstanceId &id);
  SyncedInstance *primary();

  std::map<std::string, SyncedInstance> Instances;
  TimePoint Now = TimePoint(std::chrono::seconds(1));
  std::multimap<TimePoint, std::function<void()>> Due;
  /// The primary's log by time, for replicas that lag.
  std::map<TimePoint, std::uint64_t> CommitsAt;
  std::uint64_t Acknowledged = 0;
  std::uint64_t Lost = 0;
  int Promotions = 0;
  std::optional<InstanceId> Ordered;
  std::uint64_t NewestFence = 0;
  std::uint64_t Asker = 0;
};

} // namespace stepledge::control::tests

#endif // STEPLEDGE_CONTROL_TESTS_SYNCEDSERVICE_H
