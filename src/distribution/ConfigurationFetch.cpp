// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "distribution/ConfigurationFetch.h"

#include "distribution/ChangeCodec.h"

#include <algorithm>
#include <utility>

namespace stepledge::distribution {

bool ConfigurationFetch::start(TimePoint now, const std::string &ip,
                               std::uint64_t held) {
  // NOTE: an answer that is on its way is never asked for again: on a narrow
  // link the copies take the room of all else, and none arrives in time.
  const bool isUnderWay = !Ip.empty();
  if (isUnderWay && now - AskedAt <= StallLimit)
    return false;
  if (isUnderWay)
    StallLimit = std::min(2 * StallLimit, LongestStallLimit);
  Ip = ip;
  Held = held;
  ++Fetch;
  Received.clear();
  ask(now);
  return true;
}

void ConfigurationFetch::ask(TimePoint now) {
  AskedAt = now;
  peer::wire::Message message;
  auto &request = *message.mutable_configuration_request();
  request.set_fetch(Fetch);
  request.set_held_version(Held);
  request.set_offset(Received.size());
  Peers.send(Ip, message);
}

PartResult ConfigurationFetch::take(TimePoint now, const std::string &ip,
                                    const peer::wire::ConfigurationPart &part) {
  const bool isExpected = ip == Ip && part.fetch() == Fetch &&
                          part.offset() == Received.size() &&
                          !part.body().empty();
  if (!isExpected)
    return PartResult::Unexpected;
  Received += part.body();
  if (Received.size() < part.total()) {
    ask(now);
    return PartResult::Taken;
  }
  finish();
  StallLimit = FirstStallLimit;
  auto change = decodeChange(std::exchange(Received, {}));
  if (!change)
    return PartResult::Unreadable;
  Change = *std::move(change);
  return PartResult::Complete;
}

void ConfigurationFetch::lost(const std::string &ip) {
  if (ip == Ip)
    finish();
}

} // namespace stepledge::distribution
