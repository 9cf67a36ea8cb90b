// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Limits retries to a share of the traffic, which prevents retry storms.

#ifndef STEPLEDGE_ADMISSION_RETRYBUDGET_H
#define STEPLEDGE_ADMISSION_RETRYBUDGET_H

#include <algorithm>

namespace stepledge::admission {

class RetryBudget {
public:
  /// Allows \p share of the requests as retries, and bursts of up to \p reserve
  /// retries.
  RetryBudget(double share, double reserve)
      : Share(share), Reserve(reserve), Available(reserve) {}

  void noteRequest() { Available = std::min(Reserve, Available + Share); }

  /// Takes one retry from the budget, if one is available.
  bool take() {
    if (Available < 1.0)
      return false;
    Available -= 1.0;
    return true;
  }

private:
  double Share;
  double Reserve;
  double Available;
};

} // namespace stepledge::admission

#endif // STEPLEDGE_ADMISSION_RETRYBUDGET_H
