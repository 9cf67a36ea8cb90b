// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "distribution/ConfigurationFetch.h"

#include "distribution/DeltaCodec.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace stepledge::distribution {

bool ConfigurationFetch::start(TimePoint now, const std::string &ip,
                               std::uint64_t held) {
  if (now < NotBefore)
    return false;
  // NOTE: a part in flight is never requested again: on a narrow link, the
  // copies take all bandwidth, and none arrives in time.
  const bool isInProgress = !Ip.empty();
  if (isInProgress && lagBehindMinRate(now) <= limitFor(ip))
    return false;
  if (isInProgress) {
    Abandoned.insert(Ip);
    doubleTimeout();
  }
  Ip = ip;
  HeldVersion = held;
  ++Fetch;
  Received.clear();
  StartedAt = now;
  ask();
  return true;
}

std::string ConfigurationFetch::describe(TimePoint now) const {
  if (Ip.empty())
    return absl::StrCat("fetch_from= pause_ms=",
                        toMilliseconds(std::max(NotBefore - now, Duration{})));
  return absl::StrCat("fetch_from=", Ip,
                      " fetch_ms=", toMilliseconds(now - StartedAt),
                      " bytes=", Received.size());
}

Duration ConfigurationFetch::limitFor(const std::string &ip) const {
  if (ip == Ip)
    return 2 * Timeout;
  return Abandoned.contains(ip) ? Timeout : InitialTimeout;
}

Duration ConfigurationFetch::lagBehindMinRate(TimePoint now) const {
  constexpr std::int64_t MicrosecondsInSecond = 1'000'000;
  const auto bytes = static_cast<std::int64_t>(Received.size());
  return now - StartedAt -
         Duration(bytes * MicrosecondsInSecond / MinBytesPerSecond);
}

void ConfigurationFetch::doubleTimeout() {
  Timeout = std::min(2 * Timeout, MaxTimeout);
}

void ConfigurationFetch::ask() {
  peer::wire::Message message;
  auto &request = *message.mutable_configuration_request();
  request.set_fetch(Fetch);
  request.set_held_version(HeldVersion);
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
  auto delta = decodeDelta(std::exchange(Received, {}));
  if (!delta)
    return PartResult::Unreadable;
  Delta = *std::move(delta);
  return PartResult::Complete;
}

void ConfigurationFetch::reject(TimePoint now) {
  NotBefore = now + Timeout;
  doubleTimeout();
}

void ConfigurationFetch::connectionLost(const std::string &ip) {
  Abandoned.erase(ip);
  if (ip == Ip)
    finish();
}

} // namespace stepledge::distribution
