// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Ends the pauses of replicas, once no order to promote can be carried
/// out any more that relies on them.

#ifndef STEPLEDGE_CONTROL_INTERNAL_REPLICARESUMER_H
#define STEPLEDGE_CONTROL_INTERNAL_REPLICARESUMER_H

#include "control/IPromoter.h"
#include "membership/InstanceDirectory.h"

#include "base/types/Time.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace stepledge::control {

class ReplicaResumer {
public:
  ReplicaResumer(const membership::InstanceDirectory &directory,
                 IInstanceProbe &probe)
      : Directory(directory), Probe(probe) {}

  /// An order to promote \p target may not have been carried out yet; it is
  /// unknown for an earlier leader's order. Until it is, the old primary still
  /// commits: a replica that was resumed would let a commit be acknowledged
  /// that the new one lacks.
  void holdForOrder(TimePoint now, const std::string &service,
                    const std::optional<InstanceId> &target);
  /// Resumes the service's replicas, unless an order is open.
  void resume(const std::string &service);
  /// Resumes the replicas whose order has been carried out, or can't be any
  /// more, but not those of a service that \p isBusy with an attempt.
  void tick(TimePoint now,
            const std::function<bool(const std::string &)> &isBusy);
  /// Whether a request to resume may still be carried out. No replica of the
  /// service is paused meanwhile: a late one would end that pause.
  bool isPending(const std::string &service) const {
    return Pending.contains(service);
  }
  void clearOrders() { OpenOrders.clear(); }

private:
  struct OpenOrder {
    std::optional<InstanceId> Target;
    TimePoint AskAt{};
    TimePoint Until{};
    /// The target says that it leads.
    bool IsCarriedOut = false;
  };

  struct PendingRequests {
    int Unanswered = 0;
    /// One was given up since the last tick.
    bool IsGivenUp = false;
    /// Until then one that was given up may be carried out.
    TimePoint Until{};
  };

  void confirm(TimePoint now, const std::string &service, OpenOrder &order);
  void removeDone(TimePoint now);

  const membership::InstanceDirectory &Directory;
  IInstanceProbe &Probe;
  std::map<std::string, OpenOrder> OpenOrders;
  /// By service.
  std::map<std::string, PendingRequests> Pending;
};

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_INTERNAL_REPLICARESUMER_H
