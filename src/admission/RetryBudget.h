// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Lets retries be only a share of the traffic, so that they can't feed
/// a storm.

#ifndef STEPLEDGE_ADMISSION_RETRYBUDGET_H
#define STEPLEDGE_ADMISSION_RETRYBUDGET_H

#include <algorithm>

namespace stepledge::admission {

class RetryBudget {
public:
  /// \p share of requests may be retries; \p reserve of them may come at once.
  RetryBudget(double share, double reserve)
      : Share(share), Reserve(reserve), Saved(reserve) {}

  void noteRequest() { Saved = std::min(Reserve, Saved + Share); }

  /// Takes one retry out of the budget, if there is one.
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
