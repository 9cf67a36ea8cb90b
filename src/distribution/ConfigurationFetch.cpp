// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "distribution/ConfigurationFetch.h"

#include "distribution/ChangeCodec.h"

#include <algorithm>
#include <utility>

namespace stepledge::distribution {

bool ConfigurationFetch::start(TimePoint now, const std::string &ip,
                               std::uint64_t held) {
  if (now < NotBefore)
    return false;
  // NOTE: a part in flight is never requested again: on a narrow link, the
  // copies take all bandwidth, and none arrives in time.
  const bool isUnderWay = !Ip.empty();
  const Duration limit = ip == Ip ? 2 * Patience : Patience;
  if (isUnderWay && behind(now) <= limit)
    return false;
  if (isUnderWay)
    waitLonger();
  Ip = ip;
  Held = held;
  ++Fetch;
  Received.clear();
  StartedAt = now;
  ask();
  return true;
}

Duration ConfigurationFetch::behind(TimePoint now) const {
  constexpr std::int64_t MicrosecondsInSecond = 1'000'000;
  const auto bytes = static_cast<std::int64_t>(Received.size());
  return now - StartedAt - Duration(bytes * MicrosecondsInSecond / SlowestPace);
}

void ConfigurationFetch::waitLonger() {
  Patience = std::min(2 * Patience, LongestPatience);
}

void ConfigurationFetch::ask() {
  peer::wire::Message message;
  auto &request = *message.mutable_configuration_request();
  request.set_fetch(Fetch);
  request.set_held_version(Held);
  request.set_offset(Received.size());
  Peers.send(Ip, message);
}

PartResult ConfigurationFetch::take(const std::string &ip,
                                    const peer::wire::ConfigurationPart &part) {
  const bool isExpected = ip == Ip && part.fetch() == Fetch &&
                          part.offset() == Received.size() &&
                          !part.body().empty();
  if (!isExpected)
    return PartResult::Unexpected;
  Received += part.body();
  if (Received.size() < part.total()) {
    ask();
    return PartResult::Taken;
  }
  finish();
  auto change = decodeChange(std::exchange(Received, {}));
  if (!change)
    return PartResult::Unreadable;
  Change = *std::move(change);
  return PartResult::Complete;
}

void ConfigurationFetch::reject(TimePoint now) {
  NotBefore = now + Patience;
  waitLonger();
}

void ConfigurationFetch::lost(const std::string &ip) {
  if (ip == Ip)
    finish();
}

} // namespace stepledge::distribution
