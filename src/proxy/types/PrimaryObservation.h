// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file How a VM sees the primary of a service.

#ifndef STEPLEDGE_PROXY_TYPES_PRIMARYOBSERVATION_H
#define STEPLEDGE_PROXY_TYPES_PRIMARYOBSERVATION_H

#include "base/types/Ids.h"
#include "base/types/Time.h"

#include <cstdint>
#include <string>

namespace stepledge::proxy {

/// The primary of a service as this VM observes it.
struct PrimaryObservation {
  std::string Service;
  /// Empty if this VM knows of none.
  InstanceId Primary;
  /// The observed incarnation; as in membership::InstanceRecord.
  std::uint64_t StartTimeMs = 0;
  /// How long requests to it have gone unanswered, or none is known; 0 if
  /// neither is the case.
  Duration SilentFor{};
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_TYPES_PRIMARYOBSERVATION_H
