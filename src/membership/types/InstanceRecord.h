// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What is known of one database instance from its own heartbeats.

#ifndef STEPLEDGE_MEMBERSHIP_TYPES_INSTANCERECORD_H
#define STEPLEDGE_MEMBERSHIP_TYPES_INSTANCERECORD_H

#include "base/types/Ids.h"

#include <cstdint>
#include <string>

namespace stepledge::membership {

enum class InstanceRole { Primary, Replica };

/// The order is that of an instance's life: a later state is never undone.
enum class InstanceState { Ready, Leaving, Gone };

struct InstanceRecord {
  InstanceId Id;
  std::string Service;
  /// "ip:port"; may be taken over by another instance later.
  std::string Address;
  HallId Hall;
  InstanceRole Role = InstanceRole::Replica;
  InstanceState State = InstanceState::Ready;
  /// Statements that it runs at once.
  int Slots = 0;
  /// Counts the instance's own heartbeats; a lower one is a late one.
  std::uint64_t Sequence = 0;

  bool operator==(const InstanceRecord &) const = default;
};

} // namespace stepledge::membership

#endif // STEPLEDGE_MEMBERSHIP_TYPES_INSTANCERECORD_H
