// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Stand-in groups and daemons on loopback, as real processes.

#ifndef STEPLEDGE_BENCH_INTERNAL_CLUSTER_H
#define STEPLEDGE_BENCH_INTERNAL_CLUSTER_H

#include "bench/ChildProcess.h"
#include "bench/types/ClusterPlan.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace stepledge::bench {

/// Where the programs are and where a trial may write.
struct TrialPlaces {
  std::string Daemon;
  std::string Standin;
  /// Emptied at the start, removed at the end.
  std::string Folder;
};

/// Places beside the running program, with a folder of its own.
TrialPlaces placesBeside(const std::string &program);

class Cluster {
public:
  Cluster(ClusterPlan plan, TrialPlaces places);
  ~Cluster();

  /// Waits until every VM says that it serves; false after \p seconds.
  bool waitReady(double seconds);

  std::uint16_t callers(int vm) const { return Vms.at(Index(vm)).Callers; }
  ChildProcess &daemon(int vm) { return *Vms.at(Index(vm)).Process; }
  void startDaemon(int vm);

  ChildProcess &instance(const std::string &name) {
    return *Instances.at(name).Process;
  }
  void startInstance(const std::string &name);
  std::vector<std::string> instanceNames() const;

  /// Asks an instance on its control port; the first cell of the answer, or
  /// "" where there is none.
  std::string control(const std::string &instance, const std::string &sql);
  void fault(const std::string &instance, const std::string &name, int value);
  const std::string &folder() const { return Places.Folder; }

private:
  using Index = std::size_t;

  struct Vm {
    std::string Name;
    std::string Hall;
    std::uint16_t Callers = 0;
    std::uint16_t Mesh = 0;
    std::string SettingsPath;
    std::unique_ptr<ChildProcess> Process;
  };

  struct Instance {
    std::string Hall;
    std::uint16_t Port = 0;
    std::uint16_t ControlPort = 0;
    std::vector<std::string> Arguments;
    std::unique_ptr<ChildProcess> Process;
  };

  void planInstances(const GroupPlan &group);
  void writeSettings(Index vm);
  std::string groupSettings(const GroupPlan &group) const;
  std::string hallOf(Index n) const;

  ClusterPlan Plan;
  TrialPlaces Places;
  std::vector<Vm> Vms;
  std::map<std::string, Instance> Instances;
};

} // namespace stepledge::bench

#endif // STEPLEDGE_BENCH_INTERNAL_CLUSTER_H
