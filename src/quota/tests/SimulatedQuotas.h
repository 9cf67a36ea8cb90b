// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A simulation, driven by a seed, of entry VMs that keep quotas in
/// several halls, with links that delay and lose messages and can be
/// partitioned.

#ifndef STEPLEDGE_QUOTA_TESTS_SIMULATEDQUOTAS_H
#define STEPLEDGE_QUOTA_TESTS_SIMULATEDQUOTAS_H

#include "quota/QuotaLedger.h"

#include <deque>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace stepledge::quota::tests {

/// Operations of one priority that clients ask for.
struct SimulatedLoad {
  int Priority = 0;
  double PerSecond = 0;
};

/// A VM says that it is there.
struct SimulatedPresence {};
using SimulatedBody = std::variant<QuotaAsk, QuotaGrant, SimulatedPresence>;

/// One organisation, "o", asks for operations through all VMs.
class SimulatedQuotas {
public:
  SimulatedQuotas(std::uint64_t seed, int halls, int vmsPerHall, double rate,
                  double burst);
  ~SimulatedQuotas();
  SimulatedQuotas(const SimulatedQuotas &) = delete;
  SimulatedQuotas &operator=(const SimulatedQuotas &) = delete;

  /// Runs for \p time while clients ask for \p perSecond operations, evenly
  /// over all VMs, but with a fraction of \p firstVmFraction at the first VM.
  void run(Duration time, double perSecond, double firstVmFraction = 0);
  /// The same for several priorities at once.
  void runAll(Duration time, const std::vector<SimulatedLoad> &loads,
              double firstVmFraction = 0);
  /// Refused callers return up to this many times, each after its retry delay.
  void setMaxReturns(int most) { MaxReturns = most; }
  void setLimit(double rate, double burst);
  /// Partitions the first hall from the others, or ends that.
  void partitionFirstHall(bool isPartitioned) {
    IsFirstHallPartitioned = isPartitioned;
  }
  /// Partitions every other VM from the rest, or ends that.
  void partitionHalves(bool isPartitioned) {
    AreHalvesPartitioned = isPartitioned;
  }
  /// Restarts a VM without its state; it is unreachable for a moment.
  void restart(std::size_t vm);
  void restartAll();
  /// Pauses a VM, which then goes on with the state that it had.
  void pause(std::size_t vm, Duration time);
  /// Removes a VM from the lists of the others, or adds it again.
  void setListed(std::size_t vm, bool isListed);
  /// Cuts every other VM off from those that tell the lists, not from other
  /// VMs: it keeps its list, and the others get one without it.
  void cutHalfOffFromLists();
  /// Ends that: all VMs get the same list.
  void endCutOffFromLists();

  std::size_t size() const { return Vms.size(); }
  std::mt19937_64 &random() { return Random; }
  /// The highest number of operations that ran in any span of \p window.
  int maxIn(Duration window) const;
  int granted() const { return static_cast<int>(GrantedAt.size()); }
  int granted(int priority) const { return countOf(Grants, priority); }
  /// Refusals of the operations asked for.
  int refused() const { return sumOf(Refused); }
  int refused(int priority) const { return countOf(Refused, priority); }
  int asked() const { return sumOf(Asked); }
  int asked(int priority) const { return countOf(Asked, priority); }
  /// Asks and grants between VMs.
  int messageCount() const { return MessageCount; }

private:
  struct Vm;
  struct Message {
    TimePoint At{};
    std::size_t From = 0;
    std::size_t To = 0;
    /// The sender's incarnation; messages of an earlier one are lost.
    int Incarnation = 0;
    SimulatedBody Body;
  };

  struct Caller {
    TimePoint Since{};
    int Priority = 0;
    int Returns = 0;
  };
  using Counts = std::map<int, int>;

  static int countOf(const Counts &counts, int priority);
  static int sumOf(const Counts &counts);

  void step();
  void ask(std::size_t vm, Caller caller);
  void askDueCallers();
  void refuse(Vm &vm, Caller caller);
  void admitWaiting(Vm &vm);
  bool isLinked(std::size_t a, std::size_t b) const;
  void send(std::size_t from, const std::string &ip, SimulatedBody body);
  void deliver();
  std::vector<membership::EntryVm> entries() const;
  void connectToAll(Vm &vm);

  std::mt19937_64 Random;
  TimePoint Now = TimePoint(std::chrono::seconds(10));
  std::vector<std::unique_ptr<Vm>> Vms;
  std::deque<Message> InFlight;
  std::map<OrganisationId, control::Organisation> Organisations;
  bool IsFirstHallPartitioned = false;
  bool AreHalvesPartitioned = false;
  std::vector<TimePoint> GrantedAt;
  Counts Grants;
  Counts Asked;
  Counts Refused;
  std::multimap<TimePoint, Caller> ReturningCallers;
  int MaxReturns = 0;
  int MessageCount = 0;
};

} // namespace stepledge::quota::tests

#endif // STEPLEDGE_QUOTA_TESTS_SIMULATEDQUOTAS_H
