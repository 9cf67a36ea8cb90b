// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Until when each part of a soak's fleet is harmed. From any thread.

#ifndef STEPLEDGE_SOAK_HARMBOOK_H
#define STEPLEDGE_SOAK_HARMBOOK_H

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace stepledge::soak {

class HarmBook {
public:
  using Clock = std::chrono::steady_clock;

  void note(const std::string &part, Clock::time_point until) {
    const std::lock_guard lock(Mutex);
    auto &it = Until[part];
    it = std::max(it, until);
  }

  bool isHarmed(Clock::time_point now, std::string_view part) const {
    const std::lock_guard lock(Mutex);
    const auto it = Until.find(part);
    return it != Until.end() && now < it->second;
  }

  /// The end of its last harm, which may be to come.
  Clock::time_point harmedUntil(std::string_view part) const {
    const std::lock_guard lock(Mutex);
    const auto it = Until.find(part);
    return it == Until.end() ? Clock::time_point{} : it->second;
  }

  bool isAnyHarmed(Clock::time_point now) const {
    const std::lock_guard lock(Mutex);
    return std::any_of(Until.begin(), Until.end(),
                       [now](const auto &it) { return now < it.second; });
  }

private:
  mutable std::mutex Mutex;
  std::map<std::string, Clock::time_point, std::less<>> Until;
};

} // namespace stepledge::soak

#endif // STEPLEDGE_SOAK_HARMBOOK_H
