// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file VMs and one group of instances that have a few slots each and become
/// slow, fail or go down as the test sets; clients send single reads, and their
/// answers are counted.

#ifndef STEPLEDGE_PROXY_TESTS_UNEVENGROUP_H
#define STEPLEDGE_PROXY_TESTS_UNEVENGROUP_H

#include "proxy/Proxy.h"
#include "quota/tests/FakeQuota.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace stepledge::proxy::tests {

/// The answers to the reads of one period.
struct ReadTally {
  int Asked = 0;
  /// Answered within their objective.
  int Good = 0;
  /// Answered within the tightest objective of a route.
  int Prompt = 0;
  int Failed = 0;
  double goodShare() const {
    return Asked == 0 ? 0 : static_cast<double>(Good) / Asked;
  }
  double promptShare() const {
    return Asked == 0 ? 0 : static_cast<double>(Prompt) / Asked;
  }
};

class UnevenGroup {
public:
  struct Instance {
    std::string Name;
    bool IsUp = true;
    /// Multiple of its usual service time.
    double Slowness = 1.0;
    double FailingShare = 0.0;
    /// Failures are answered at once.
    bool FailsFast = false;
    std::vector<TimePoint> SlotsFreeAt;
    /// Reads that were sent to it.
    int Reads = 0;
  };

  UnevenGroup(std::uint64_t seed, std::size_t vms);
  ~UnevenGroup();

  /// Advances the time by \p time, with \p rate reads a second over all VMs.
  /// The tally also counts the answers that arrive later.
  const ReadTally &runFor(Duration time, double rate);
  /// An instance that goes down loses its connections.
  void setIsUp(const std::string &name, bool isUp);
  Instance &instance(const std::string &name);
  Proxy &vm(std::size_t n);
  /// How often the VM logged that an instance became an outlier or recovered.
  int outlierLogLines(std::size_t vm) const;
  /// Delays answers from the instance to this VM by \p extra.
  void setLinkDelay(std::size_t vm, const std::string &instance,
                    Duration extra);
  /// Reads sent to all instances, second attempts included.
  int sentReads() const;
  void resetCounts();

private:
  class Vm;
  struct PendingRead {
    TimePoint At{};
    ReadTally *Tally = nullptr;
  };
  using Action = std::function<void()>;

  void at(TimePoint time, Action action) { Events.emplace(time, action); }
  void runUntil(TimePoint time);
  void startRead(Vm &vm, ReadTally &tally);
  Duration draw(int least, int most);
  bool chance(double share);

  TimePoint Now = TimePoint(std::chrono::seconds(10));
  std::multimap<TimePoint, Action> Events;
  std::mt19937_64 Random;
  std::vector<Instance> Instances;
  std::vector<std::unique_ptr<Vm>> Vms;
  std::deque<ReadTally> Tallies;
};

} // namespace stepledge::proxy::tests

#endif // STEPLEDGE_PROXY_TESTS_UNEVENGROUP_H
