// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Committed changes of the configuration whose acknowledgement waits
/// until the entry VMs work by them.
///
/// An entry VM that isn't told before the control VMs are lost would go on with
/// the older version, against what the acknowledgement says.

#ifndef STEPLEDGE_CONTROL_INTERNAL_SPREADWAIT_H
#define STEPLEDGE_CONTROL_INTERNAL_SPREADWAIT_H

#include "base/types/Time.h"
#include "control/EntryRoster.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace stepledge::control {

class SpreadWait {
public:
  /// An entry VM fetches a change of some hundred routes within a tenth of it;
  /// one that is silent holds up an acknowledgement no longer, well within the
  /// time that a caller waits.
  static constexpr Duration Limit = milliseconds(300);

  using OnSpread = std::function<void()>;
  /// When the wait for a change may end, and when it ends at the latest.
  struct Period {
    TimePoint Earliest{};
    TimePoint Latest{};
  };
  struct Change {
    std::uint64_t Version = 0;
    Period Wait;
    OnSpread Done;
    /// The entry VMs that are behind when it ends.
    std::size_t Behind = 0;
  };

  /// \p onSpread is called within \p wait, once no entry VM of the roster is
  /// behind \p version.
  void add(const Period &wait, std::uint64_t version, OnSpread onSpread) {
    Changes.push_back({version, wait, std::move(onSpread)});
  }
  /// Takes out the changes whose wait is over.
  std::vector<Change> takeEnded(TimePoint now, const EntryRoster &entries) {
    std::vector<Change> ended;
    for (auto it = Changes.begin(); it != Changes.end();) {
      it->Behind = entries.countBehind(it->Version);
      const bool isSpread = it->Behind == 0 && now >= it->Wait.Earliest;
      if (!isSpread && now < it->Wait.Latest) {
        ++it;
        continue;
      }
      ended.push_back(std::move(*it));
      it = Changes.erase(it);
    }
    return ended;
  }
  std::vector<Change> takeAll() { return std::exchange(Changes, {}); }

private:
  std::vector<Change> Changes;
};

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_INTERNAL_SPREADWAIT_H
