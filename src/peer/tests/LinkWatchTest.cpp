// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file When a connection is pinged and when it is taken for dead.

#include "peer/internal/LinkWatch.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::peer;

namespace {

const TimePoint Start(milliseconds(10000));
constexpr Duration Tick = milliseconds(20);

/// Decides at each tick of \p time; the number of pings until a close.
struct Outcome {
  int Pings = 0;
  std::optional<Duration> ClosedAfter;
};

Outcome decideFor(LinkWatch &watch, TimePoint from, Duration time) {
  Outcome outcome;
  for (Duration at{}; at <= time; at += Tick) {
    const auto action = watch.decide(from + at);
    outcome.Pings += action == LinkAction::Ping;
    if (action != LinkAction::Close)
      continue;
    outcome.ClosedAfter = at;
    break;
  }
  return outcome;
}

} // namespace

TEST_CASE("LinkWatch_UnansweredConnectionIsClosedAfterPings") {
  LinkWatch watch(Start, false);
  watch.sent(Start);
  const auto outcome = decideFor(watch, Start, milliseconds(5000));
  CHECK(outcome.Pings >= 2);
  CHECK(outcome.ClosedAfter == LinkWatch::SilenceLimit);
}

TEST_CASE("LinkWatch_AnswerEndsTheWait") {
  LinkWatch watch(Start, false);
  for (int i = 0; i < 20; ++i) {
    const TimePoint now = Start + i * milliseconds(1500);
    watch.sent(now);
    CHECK_FALSE(decideFor(watch, now, milliseconds(1400)).ClosedAfter);
    watch.heard(now + milliseconds(1400));
  }
}

TEST_CASE("LinkWatch_IdleConnectionIsPingedOnlyIfWanted") {
  LinkWatch quiet(Start, false);
  CHECK(decideFor(quiet, Start, milliseconds(10000)).Pings == 0);
  LinkWatch watchful(Start, true);
  const auto outcome = decideFor(watchful, Start, milliseconds(10000));
  CHECK(outcome.ClosedAfter ==
        LinkWatch::IdlePingInterval + LinkWatch::SilenceLimit);
}

TEST_CASE("LinkWatch_PauseOfThisVmIsNoSilenceOfTheOther") {
  LinkWatch watch(Start, false);
  watch.sent(Start);
  CHECK(watch.decide(Start) == LinkAction::None);
  const TimePoint later = Start + milliseconds(8000);
  CHECK(watch.decide(later) != LinkAction::Close);
  CHECK_FALSE(decideFor(watch, later, milliseconds(1900)).ClosedAfter);
  CHECK(decideFor(watch, later, milliseconds(2100)).ClosedAfter);
}

namespace {

/// The other side speaks by itself all the time; when the link is closed.
std::optional<Duration> closedBesideNotices(bool isAnswering) {
  constexpr Duration NoticeInterval = milliseconds(250);
  LinkWatch watch(Start, true);
  for (Duration at{}; at < milliseconds(30000); at += Tick) {
    const TimePoint now = Start + at;
    watch.sent(now);
    if (at % NoticeInterval < Tick)
      watch.heard(now);
    const auto action = watch.decide(now);
    if (action == LinkAction::Ping && isAnswering)
      watch.answered(now);
    if (action == LinkAction::Close)
      return at;
  }
  return std::nullopt;
}

} // namespace

TEST_CASE("LinkWatch_SideThatSpeaksAndHearsNothingIsClosed") {
  const auto closedAfter = closedBesideNotices(false);
  REQUIRE(closedAfter);
  CHECK(*closedAfter <=
        LinkWatch::ProofInterval + LinkWatch::ProofLimit + Tick);
  CHECK_FALSE(closedBesideNotices(true));
}
