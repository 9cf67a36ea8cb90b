// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What a trial on loopback is made of.

#ifndef STEPLEDGE_BENCH_TYPES_CLUSTERPLAN_H
#define STEPLEDGE_BENCH_TYPES_CLUSTERPLAN_H

#include <string>
#include <vector>

namespace stepledge::bench {

/// One database group of stand-ins; instance N stands in hall N of the plan,
/// counted round.
struct GroupPlan {
  std::string Database = "bookings";
  int Instances = 3;
  /// At each instance, over all VMs.
  int Connections = 25;
  int Slots = 3;
  int ConnectMs = 10;
  int ServiceMs = 0;
  int ReadMaxAgeMs = 0;
  /// Per instance; missing ones are 0.
  std::vector<int> LagMs;
  std::string Acknowledge = "majority";
};

struct ClusterPlan {
  std::vector<std::string> Halls = {"vastra-a", "vastra-b", "vastra-c"};
  /// VM N stands in hall N of the plan, counted round.
  int Vms = 3;
  std::vector<GroupPlan> Groups = {{}};
  /// Further lines of each VM's settings.
  std::string ExtraSettings;
  std::string LogLevel = "warning";
};

} // namespace stepledge::bench

#endif // STEPLEDGE_BENCH_TYPES_CLUSTERPLAN_H
