// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Terms that only one VM may issue.

#ifndef STEPLEDGE_FAILOVER_TERMALLOTMENT_H
#define STEPLEDGE_FAILOVER_TERMALLOTMENT_H

#include "base/types/LogPosition.h"

#include <cstdint>

namespace stepledge::failover {

/// Each VM has a unique number and issues only the terms that leave this number
/// as remainder modulo VmNumberLimit. So two VMs that replace a primary at the
/// same time never promote two instances in one term, without any coordination.
class TermAllotment {
public:
  /// VM numbers are from 1 to VmNumberLimit - 1.
  static constexpr std::uint64_t VmNumberLimit = 4096;

  explicit TermAllotment(std::uint64_t vmNumber) : VmNumber(vmNumber) {}

  /// A VM without a number issues no terms.
  bool canIssue() const { return VmNumber != 0; }

  /// The lowest term of this VM above \p term.
  Term after(Term term) const {
    const auto round = term.Number / VmNumberLimit;
    const auto same = round * VmNumberLimit + VmNumber;
    return Term{same > term.Number ? same : same + VmNumberLimit};
  }

  bool owns(Term term) const { return term.Number % VmNumberLimit == VmNumber; }

private:
  std::uint64_t VmNumber;
};

} // namespace stepledge::failover

#endif // STEPLEDGE_FAILOVER_TERMALLOTMENT_H
