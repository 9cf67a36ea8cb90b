// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What one VM has done with an organisation's quota for some time.

#ifndef STEPLEDGE_QUOTA_TYPES_QUOTAUSE_H
#define STEPLEDGE_QUOTA_TYPES_QUOTAUSE_H

#include "base/types/Ids.h"

namespace stepledge::quota {

struct QuotaUse {
  OrganisationId Organisation;
  /// Operations granted to clients of this VM.
  int Granted = 0;
  int Refused = 0;
  /// Operations lent to other VMs, as a home.
  int Lent = 0;
  /// Operations borrowed from other VMs.
  int Borrowed = 0;
  /// Operations borrowed and not used yet.
  int Held = 0;
  /// This VM keeps its hall's part.
  bool IsHome = false;
};

} // namespace stepledge::quota

#endif // STEPLEDGE_QUOTA_TYPES_QUOTAUSE_H
