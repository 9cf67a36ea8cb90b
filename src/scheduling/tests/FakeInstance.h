// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A simulated instance with a number of slots and a queue of statements
/// that wait for them.

#ifndef STEPLEDGE_SCHEDULING_TESTS_FAKEINSTANCE_H
#define STEPLEDGE_SCHEDULING_TESTS_FAKEINSTANCE_H

#include "scheduling/types/WaitRank.h"

#include <map>
#include <random>
#include <vector>

namespace stepledge::scheduling::tests {

/// An order of service under test.
class IServiceOrder {
public:
  virtual ~IServiceOrder() = default;
  /// The index of the statement to serve next.
  virtual std::size_t pick(TimePoint now,
                           const std::vector<WaitRank> &ranks) = 0;
  virtual void noteUse(TimePoint now, const OrganisationId &organisation,
                       Duration took) = 0;
};

struct Demand {
  OrganisationId Organisation;
  int Priority = 0;
  Duration Objective{};
  double PerSecond = 0;
};

/// What one organisation or priority requested and received.
struct ServiceTotals {
  int Requested = 0;
  int InTime = 0;
  Duration SlotTime{};
};

struct Outcome {
  std::map<OrganisationId, ServiceTotals> Organisations;
  std::map<int, ServiceTotals> Priorities;
  /// The fraction of the requests that were answered in time, where each
  /// priority counts for half of the next more urgent one.
  double weightedInTime() const;
};

class FakeInstance {
public:
  FakeInstance(std::size_t slots, std::uint64_t seed)
      : Slots(slots), Random(seed) {}

  Outcome run(const std::vector<Demand> &demands, Duration time,
              IServiceOrder &order);

private:
  std::vector<WaitRank> arrivals(const std::vector<Demand> &demands,
                                 Duration time);
  void finish(TimePoint until, IServiceOrder &order);
  void serve(TimePoint now, IServiceOrder &order);

  struct Slot {
    TimePoint Until{};
    TimePoint Since{};
    WaitRank Rank;
    bool IsBusy = false;
  };
  std::vector<Slot> Slots;
  std::vector<WaitRank> Waiting;
  std::mt19937_64 Random;
  Outcome Result;
};

} // namespace stepledge::scheduling::tests

#endif // STEPLEDGE_SCHEDULING_TESTS_FAKEINSTANCE_H
