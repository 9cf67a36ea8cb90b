// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Limits how many log lines of one kind are written, and counts those
/// that are left out.

#ifndef STEPLEDGE_BASE_LINEBUDGET_H
#define STEPLEDGE_BASE_LINEBUDGET_H

#include "base/types/Time.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace stepledge {

class LineBudget {
public:
  /// The number of lines left out since the last written one; nullopt if this
  /// line is to be left out as well.
  std::optional<std::uint64_t> take(TimePoint now) {
    if (!WindowStart || now - *WindowStart >= Window) {
      WindowStart = now;
      Written = 0;
    }
    if (Written >= MaxLines) {
      ++LeftOut;
      return std::nullopt;
    }
    ++Written;
    return std::exchange(LeftOut, 0);
  }

private:
  /// Enough to identify senders, and at most some 2 KB a second, so that a
  /// client that repeats a malformed message cannot fill the disk.
  static constexpr int MaxLines = 10;
  static constexpr Duration Window = milliseconds(1000);

  std::optional<TimePoint> WindowStart;
  int Written = 0;
  std::uint64_t LeftOut = 0;
};

} // namespace stepledge

#endif // STEPLEDGE_BASE_LINEBUDGET_H
