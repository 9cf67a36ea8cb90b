// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Where the configuration that a VM works by came from, and what is
/// announced beside it.

#ifndef STEPLEDGE_PROXY_TYPES_CONFIGURATIONSOURCE_H
#define STEPLEDGE_PROXY_TYPES_CONFIGURATIONSOURCE_H

#include "base/types/Time.h"

#include "absl/strings/str_cat.h"

#include <cstdint>
#include <string>

namespace stepledge::proxy {

struct ConfigurationSource {
  /// The control VM that sent it.
  std::string Ip;
  /// A majority of the control VMs stood behind it when it was taken.
  bool WasFresh = false;
  TimePoint TakenAt{};
  /// The newest version that a control VM has announced.
  std::uint64_t NewestAnnounced = 0;
  /// Nothing is received from a control VM that has a majority.
  bool IsControlLost = false;

  /// There may be a newer configuration than the one of version \p held.
  bool mayBeOutdated(std::uint64_t held) const {
    return IsControlLost || NewestAnnounced > held;
  }
  /// For a log line.
  std::string describe(TimePoint now) const {
    return absl::StrCat("from=", Ip, " fresh=", WasFresh,
                        " age_ms=", toMilliseconds(now - TakenAt),
                        " announced=", NewestAnnounced,
                        " control_lost=", IsControlLost);
  }
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_TYPES_CONFIGURATIONSOURCE_H
