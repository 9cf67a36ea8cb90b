// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Bounds how many log lines of one kind are written, and counts those
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
  /// How many lines were left out since the last one that was written; nothing
  /// where this one is to be left out as well.
  std::optional<std::uint64_t> take(TimePoint now) {
    if (!WindowStart || now - *WindowStart >= Window) {
      WindowStart = now;
      Written = 0;
    }
    if (Written >= MostLines) {
      ++LeftOut;
      return std::nullopt;
    }
    ++Written;
    return std::exchange(LeftOut, 0);
  }

private:
  /// Enough to see who sends what, and some 2 KB a second at most, so that a
  /// caller that repeats a broken message can't fill the disk with lines.
  static constexpr int MostLines = 10;
  static constexpr Duration Window = milliseconds(1000);

  std::optional<TimePoint> WindowStart;
  int Written = 0;
  std::uint64_t LeftOut = 0;
};

} // namespace stepledge

#endif // STEPLEDGE_BASE_LINEBUDGET_H
