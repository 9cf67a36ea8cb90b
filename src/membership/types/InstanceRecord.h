// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What is known of one database instance from its own heartbeats.

#ifndef STEPLEDGE_MEMBERSHIP_TYPES_INSTANCERECORD_H
#define STEPLEDGE_MEMBERSHIP_TYPES_INSTANCERECORD_H

#include "base/types/Ids.h"

#include <cstdint>
#include <string>
#include <utility>

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
  /// When this life of the instance began, in Unix ms by its own clock; 0 where
  /// it doesn't say. An instance that starts again under its id holds nothing
  /// of before, and counts anew.
  std::uint64_t BornMs = 0;
  /// Counts the heartbeats of this life; a lower one is a late one.
  std::uint64_t Sequence = 0;
  /// An earlier life under this id was known: it has lost its data, so its own
  /// word that it is the primary isn't enough.
  bool HasRestarted = false;

  /// The word of a later life goes first, then the later word.
  bool isNewerThan(const InstanceRecord &other) const {
    return std::pair(BornMs, Sequence) >
           std::pair(other.BornMs, other.Sequence);
  }

  bool operator==(const InstanceRecord &) const = default;
};

} // namespace stepledge::membership

#endif // STEPLEDGE_MEMBERSHIP_TYPES_INSTANCERECORD_H
