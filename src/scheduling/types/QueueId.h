// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Identifies one queue of waiting statements.

#ifndef STEPLEDGE_SCHEDULING_TYPES_QUEUEID_H
#define STEPLEDGE_SCHEDULING_TYPES_QUEUEID_H

#include "base/types/Ids.h"

#include <compare>
#include <string>

namespace stepledge::scheduling {

struct QueueId {
  std::string Service;
  /// The instance, at a VM that lends connections to it; empty for the
  /// statements of a VM's own clients, which wait for any instance of the
  /// service.
  InstanceId Instance;

  auto operator<=>(const QueueId &) const = default;
};

} // namespace stepledge::scheduling

#endif // STEPLEDGE_SCHEDULING_TYPES_QUEUEID_H
