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
      : Share(share), Reserve(reserve), Saved(reserve) {}

  void noteRequest() { Saved = std::min(Reserve, Saved + Share); }

  /// Takes one retry from the budget, if one is available.
  bool take() {
    if (Saved < 1.0)
      return false;
    Saved -= 1.0;
    return true;
  }

private:
  double Share;
  double Reserve;
  double Saved;
};

} // namespace stepledge::admission

#endif // STEPLEDGE_ADMISSION_RETRYBUDGET_H
