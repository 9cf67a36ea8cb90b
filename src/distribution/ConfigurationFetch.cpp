// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "distribution/ConfigurationFetch.h"

#include "distribution/DeltaCodec.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace stepledge::distribution {

bool ConfigurationFetch::Attempt::isStalled(TimePoint now) const {
  constexpr std::int64_t MicrosecondsInSecond = 1'000'000;
  const auto bytes = static_cast<std::int64_t>(Received.size());
  const Duration lag =
      now - StartedAt -
      Duration(bytes * MicrosecondsInSecond / MinBytesPerSecond);
  return now - ProgressAt > StallTimeout || lag > LagLimit;
}

bool ConfigurationFetch::start(TimePoint now, const std::string &ip,
                               std::uint64_t held) {
  if (now < NotBefore)
    return false;
  const auto known = Attempts.find(ip);
  // NOTE: a part in flight isn't requested again soon: on a narrow link, the
  // copies take all bandwidth, and none arrives in time.
  if (known != Attempts.end() &&
      now - known->second.ProgressAt <= RetryInterval)
    return false;
  const bool isProgressing =
      std::any_of(Attempts.begin(), Attempts.end(),
                  [&](const auto &it) { return !it.second.isStalled(now); });
  if (isProgressing)
    return false;
  auto &attempt = Attempts[ip];
  attempt = {++LastNumber, held, {}, now, now};
  ask(ip, attempt);
  return true;
}

std::string ConfigurationFetch::describe(TimePoint now) const {
  if (Attempts.empty())
    return absl::StrCat("fetch_from= pause_ms=",
                        toMilliseconds(std::max(NotBefore - now, Duration{})));
  std::string ips;
  std::string times;
  for (const auto &[ip, it] : Attempts) {
    absl::StrAppend(&ips, ips.empty() ? "" : ",", ip);
    absl::StrAppend(&times, times.empty() ? "" : ",",
                    toMilliseconds(now - it.ProgressAt));
  }
  return absl::StrCat("fetch_from=", ips, " fetch_waits_ms=", times);
}

void ConfigurationFetch::ask(const std::string &ip, const Attempt &attempt) {
  peer::wire::Message message;
  auto &request = *message.mutable_configuration_request();
  request.set_fetch(attempt.Number);
  request.set_held_version(attempt.HeldVersion);
  request.set_offset(attempt.Received.size());
  Peers.send(ip, message);
}

PartResult ConfigurationFetch::take(TimePoint now, const std::string &ip,
                                    const peer::wire::ConfigurationPart &part) {
  const auto it = Attempts.find(ip);
  if (it == Attempts.end() || part.fetch() != it->second.Number)
    return PartResult::Unexpected;
  auto &attempt = it->second;
  if (part.total() == 0) {
    Attempts.erase(it);
    return PartResult::Nothing;
  }
  if (part.offset() != attempt.Received.size() || part.body().empty())
    return PartResult::Unexpected;
  attempt.Received += part.body();
  attempt.ProgressAt = now;
  if (attempt.Received.size() >= part.total())
    return complete(ip);
  ask(ip, attempt);
  return PartResult::Taken;
}

PartResult ConfigurationFetch::complete(const std::string &ip) {
  const auto ended = Attempts.extract(ip);
  CompletedFrom = ended.mapped().HeldVersion;
  auto delta = decodeDelta(ended.mapped().Received);
  if (!delta)
    return PartResult::Unreadable;
  Delta = *std::move(delta);
  return PartResult::Complete;
}

void ConfigurationFetch::accept() {
  Attempts.clear();
  NextWholePause = WholeRejectedPause;
}

void ConfigurationFetch::reject(TimePoint now) {
  Attempts.clear();
  if (CompletedFrom > 0) {
    NotBefore = now + DeltaRejectedPause;
    return;
  }
  NotBefore = now + NextWholePause;
  NextWholePause = std::min(2 * NextWholePause, MaxRejectedPause);
}

} // namespace stepledge::distribution
