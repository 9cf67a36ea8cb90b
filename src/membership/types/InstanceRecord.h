// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The state of one database instance as reported by its own heartbeats.

#ifndef STEPLEDGE_MEMBERSHIP_TYPES_INSTANCERECORD_H
#define STEPLEDGE_MEMBERSHIP_TYPES_INSTANCERECORD_H

#include "base/types/Ids.h"

#include <cstdint>
#include <string>
#include <utility>

namespace stepledge::membership {

enum class InstanceRole { Primary, Replica };

/// In lifecycle order: a later state is never reverted.
enum class InstanceState { Ready, Leaving, Gone };

struct InstanceRecord {
  InstanceId Id;
  std::string Service;
  /// "ip:port"; another instance may reuse it later.
  std::string Address;
  HallId Hall;
  InstanceRole Role = InstanceRole::Replica;
  InstanceState State = InstanceState::Ready;
  /// The number of statements that the instance runs at once.
  int Slots = 0;
  /// The start time of this incarnation in Unix ms by the instance's own clock;
  /// 0 if the instance doesn't report it. An instance that restarts under its
  /// id has lost its data and restarts its sequence.
  std::uint64_t StartTimeMs = 0;
  /// The number of the heartbeat within this incarnation; a lower one is late.
  std::uint64_t Sequence = 0;
  /// An earlier incarnation under this id was known: the instance has lost its
  /// data, so its own report of being the primary isn't sufficient.
  bool HasRestarted = false;

  /// A later incarnation takes precedence, then a later heartbeat.
  bool isNewerThan(const InstanceRecord &other) const {
    return std::pair(StartTimeMs, Sequence) >
           std::pair(other.StartTimeMs, other.Sequence);
  }

  bool operator==(const InstanceRecord &) const = default;
};

} // namespace stepledge::membership

#endif // STEPLEDGE_MEMBERSHIP_TYPES_INSTANCERECORD_H
