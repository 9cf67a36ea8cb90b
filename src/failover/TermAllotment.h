// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Terms that only one VM may give out.

#ifndef STEPLEDGE_FAILOVER_TERMALLOTMENT_H
#define STEPLEDGE_FAILOVER_TERMALLOTMENT_H

#include "base/types/LogPosition.h"

#include <cstdint>

namespace stepledge::failover {

/// Each VM has a number of its own and gives out only the terms that leave it
/// as the remainder. So two VMs that replace a primary at the same moment can
/// never promote two instances in one term, without asking anybody.
class TermAllotment {
public:
  /// VM numbers are from 1 to this, less one.
  static constexpr std::uint64_t Numbers = 4096;

  explicit TermAllotment(std::uint64_t vmNumber) : VmNumber(vmNumber) {}

  /// Without a number no term may be given out.
  bool isAllowed() const { return VmNumber != 0; }

  /// The least term of this VM beyond \p term.
  Term after(Term term) const {
    const auto round = term.Number / Numbers;
    const auto same = round * Numbers + VmNumber;
    return Term{same > term.Number ? same : same + Numbers};
  }

  bool owns(Term term) const { return term.Number % Numbers == VmNumber; }

private:
  std::uint64_t VmNumber;
};

} // namespace stepledge::failover

#endif // STEPLEDGE_FAILOVER_TERMALLOTMENT_H
