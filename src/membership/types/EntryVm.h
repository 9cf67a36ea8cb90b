// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file An entry VM as listed by the control VMs.

#ifndef STEPLEDGE_MEMBERSHIP_TYPES_ENTRYVM_H
#define STEPLEDGE_MEMBERSHIP_TYPES_ENTRYVM_H

#include "base/types/Ids.h"

#include <string>

namespace stepledge::membership {

struct EntryVm {
  std::string Ip;
  HallId Hall;
  auto operator<=>(const EntryVm &) const = default;
};

} // namespace stepledge::membership

#endif // STEPLEDGE_MEMBERSHIP_TYPES_ENTRYVM_H
