// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The interfaces by which a control VM promotes an instance and queries
/// the state of instances.

#ifndef STEPLEDGE_CONTROL_IPROMOTER_H
#define STEPLEDGE_CONTROL_IPROMOTER_H

#include "base/types/LogPosition.h"
#include "membership/types/InstanceRecord.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace stepledge::control {

struct PromotionOrder {
  std::string Service;
  InstanceId Instance;
  /// The VM that gives the order.
  std::string Holder;
  /// Higher than that of every earlier order.
  std::uint64_t Fence = 0;
};

enum class PromotionResult {
  Accepted,
  /// A higher fence was seen, or the instance isn't running.
  Rejected,
  /// The order may still be carried out later.
  NoAnswer,
};

class IPromoter {
public:
  virtual ~IPromoter() = default;
  virtual void promote(const PromotionOrder &order,
                       std::function<void(PromotionResult)> onDone) = 0;
};

struct InstanceStatus {
  membership::InstanceRole Role = membership::InstanceRole::Replica;
  /// The end of the log that it has received.
  Mark Received;
  /// The newest term that it has seen.
  Term Known{};
  /// The term that it leads or follows.
  Term Current{};

  /// The newest term that its role or its log shows to have begun.
  Term begun() const { return std::max(Current, Received.WrittenIn); }
};

/// Where a replica stopped receiving: a position that stays. Not the same as a
/// status, which a replica that receives on has passed when it arrives.
struct PausedStatus {
  InstanceStatus Status;
};

class IInstanceProbe {
public:
  virtual ~IInstanceProbe() = default;
  /// The callback gets no value if no answer arrives within the limit.
  virtual void
  askStatus(const membership::InstanceRecord &instance,
            std::function<void(std::optional<InstanceStatus>)> onDone) = 0;
  /// Makes a replica stop receiving, under a term above all known ones, until
  /// it is promoted or resumed; reports where it stopped.
  virtual void
  pause(const membership::InstanceRecord &instance, Term term,
        std::function<void(std::optional<PausedStatus>)> onDone) = 0;
  /// Makes a primary of a term below \p term a replica: it acknowledges no
  /// commit from then on. Reports its state after that.
  virtual void
  demote(const membership::InstanceRecord &instance, Term term,
         std::function<void(std::optional<InstanceStatus>)> onDone) = 0;
  /// Ends a pause. \p onDone is told whether the request was answered; one that
  /// wasn't may still be carried out, and names no pause: it would end a later
  /// one as well.
  virtual void resume(const membership::InstanceRecord &instance,
                      std::function<void(bool)> onDone) = 0;
  /// Checks whether the instance answers at all; takes none of its slots.
  virtual void ping(const membership::InstanceRecord &instance,
                    std::function<void(bool)> onDone) = 0;
  /// Called when the instance has restarted: requests to its earlier
  /// incarnation get no answer, and its connections are closed.
  virtual void cancelRequests(const InstanceId &instance) = 0;
  /// Connections to instances other than these may be closed.
  virtual void retainConnections(const std::set<InstanceId> &instances) = 0;
};

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_IPROMOTER_H
