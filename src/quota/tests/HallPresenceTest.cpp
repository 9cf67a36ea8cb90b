// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The share of a hall's part that a home may lend.

#include "quota/HallPresence.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::quota;

namespace {

const HallId TheHall("h");
const TimePoint Start(milliseconds(10000));
constexpr Duration Tell = HallPresence::TellInterval;

std::string ipOf(int vm) { return "10.0.0." + std::to_string(vm); }

/// VM \p vm of \p vms in the hall, beside VMs of another one.
HallPresence presenceAmong(int vms, int vm = 0) {
  HallPresence presence(TheHall, ipOf(vm));
  std::vector<membership::EntryVm> entries = {{"10.1.0.1", HallId("other")}};
  for (int i = 0; i < vms; ++i)
    entries.push_back({ipOf(i), TheHall});
  presence.setEntries(entries);
  presence.tick(Start);
  return presence;
}

void hear(HallPresence &presence, TimePoint now, int first, int last) {
  for (int i = first; i <= last; ++i)
    presence.heard(now, ipOf(i), false);
}

} // namespace

TEST_CASE("HallPresence_SharesOfTwoSidesOfAPartitionAddUpToOne") {
  auto one = presenceAmong(10);
  hear(one, Start, 1, 9);
  CHECK(one.share(Start, Start) == 1);
  // The others are on the other side from now on.
  const TimePoint later = Start + HallPresence::HeardLimit + milliseconds(1);
  hear(one, later, 1, 3);
  CHECK(one.share(later, Start) == doctest::Approx(0.4));
  auto two = presenceAmong(10, 9);
  hear(two, later, 4, 8);
  CHECK(one.share(later, Start) + two.share(later, Start) ==
        doctest::Approx(1));
}

TEST_CASE("HallPresence_VmThatLeftTheListSilentlyKeepsItsShare") {
  auto presence = presenceAmong(4);
  hear(presence, Start, 1, 3);
  presence.setEntries({{ipOf(0), TheHall}, {ipOf(1), TheHall}});
  const TimePoint later = Start + 10 * Tell;
  presence.tick(later);
  hear(presence, later, 1, 1);
  CHECK(presence.share(later, Start) == doctest::Approx(0.5));
  const TimePoint end =
      later + HallPresence::DepartedLifetime + milliseconds(1);
  presence.tick(end);
  hear(presence, end, 1, 1);
  CHECK(presence.share(end, Start) == 1);
}

TEST_CASE("HallPresence_VmThatSaidThatItLeavesGivesItsShareBack") {
  auto presence = presenceAmong(3);
  hear(presence, Start, 1, 2);
  presence.heard(Start, ipOf(2), true);
  CHECK(presence.share(Start, Start) == 1);
  const TimePoint later = Start + 4 * Tell;
  hear(presence, later, 1, 1);
  CHECK(presence.share(later, Start) == 1);
  // It has started again, and is cut off.
  presence.heard(later, ipOf(2), false);
  const TimePoint end = later + 4 * Tell;
  hear(presence, end, 1, 1);
  CHECK(presence.share(end, Start) == doctest::Approx(2.0 / 3));
}

TEST_CASE("HallPresence_HomeThatTakesOverCountsWhomItHearsSince") {
  auto presence = presenceAmong(5);
  hear(presence, Start, 1, 4);
  const TimePoint later = Start + milliseconds(300);
  CHECK(presence.share(later, later) == doctest::Approx(0.2));
  hear(presence, later, 1, 2);
  CHECK(presence.share(later, later) == doctest::Approx(0.6));
}

TEST_CASE("HallPresence_AloneInItsHallItHasTheWhole") {
  CHECK(presenceAmong(1).share(Start, Start) == 1);
}
