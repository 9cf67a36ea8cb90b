// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The state that the control group's log builds: the configuration, the
/// lifecycle of leaving instances, the promotions, and which services have
/// had a primary.

#ifndef STEPLEDGE_CONTROL_CLUSTERSTATE_H
#define STEPLEDGE_CONTROL_CLUSTERSTATE_H

#include "control/generated/Control.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace stepledge::control {

class ClusterState {
public:
  /// Applies the log entry at \p index; all members get the same state.
  void apply(std::uint64_t index, const wire::Command &command);
  std::string serialize() const;
  /// Returns false and changes nothing if \p bytes can't be parsed.
  bool restore(const std::string &bytes);

  std::uint64_t appliedIndex() const { return AppliedIndex; }
  std::uint64_t configurationVersion() const {
    return NewestConfiguration.version();
  }
  const std::string &document() const { return NewestConfiguration.document(); }
  /// Whether the incarnation of the instance that started at \p startTimeMs is
  /// leaving or has left.
  wire::Lifecycle lifecycleOf(const std::string &instance,
                              std::uint64_t startTimeMs) const;
  /// The newest promotion of each service.
  const std::map<std::string, wire::RecordPromotion> &promotions() const {
    return Promotions;
  }

  /// The instance records kept in the log, as they were proposed.
  const std::map<std::string, wire::KeepInstance> &instances() const {
    return Instances;
  }

  /// Whether the service has ever had a primary, also one that has left since.
  bool hasLed(const std::string &service) const {
    return LedServices.contains(service);
  }

private:
  void noteLed(const wire::KeepInstance &instance);
  void applyMark(const wire::MarkInstance &mark);
  void applyKeep(const wire::KeepInstance &instance);

  std::uint64_t AppliedIndex = 0;
  wire::PutConfiguration NewestConfiguration;
  /// By instance, the mark of its latest incarnation that has one.
  std::map<std::string, wire::MarkInstance> Marks;
  std::deque<std::string> MarkOrder;
  std::map<std::string, wire::RecordPromotion> Promotions;
  std::map<std::string, wire::KeepInstance> Instances;
  std::set<std::string> LedServices;
};

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_CLUSTERSTATE_H
