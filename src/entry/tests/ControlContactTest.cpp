// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file When a VM counts as out of contact with the control group.

#include "entry/ControlContact.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::entry;

namespace {

constexpr Duration Limit = milliseconds(750);
constexpr TimePoint Start = TimePoint(std::chrono::seconds(10));

} // namespace

TEST_CASE("ControlContact_WordOfAMinorityIsNone") {
  ControlContact contact(Limit);
  contact.setMembers({"a1", "a2", "b1", "b2", "c1"});
  for (const char *ip : {"a1", "a2", "b1", "b2", "c1"})
    contact.heard(Start, ip, true);
  CHECK(!contact.isLost(Start));
  // The hall of a1 and a2 is cut off; both go on calling themselves fresh.
  const TimePoint later = Start + Limit + milliseconds(1);
  contact.heard(later, "a1", true);
  contact.heard(later, "a2", true);
  CHECK(contact.isLost(later));
  contact.heard(later, "b1", true);
  CHECK(!contact.isLost(later));
  contact.lost("b1");
  CHECK(contact.isLost(later));
}

TEST_CASE("ControlContact_MembersThatSpeakForNoMajorityAreNone") {
  ControlContact contact(Limit);
  contact.setMembers({"a1", "b1", "c1"});
  contact.heard(Start, "a1", true);
  const TimePoint later = Start + Limit + milliseconds(1);
  for (const char *ip : {"a1", "b1", "c1"})
    contact.heard(later, ip, false);
  CHECK(contact.isLost(later));
}

TEST_CASE("ControlContact_BeforeTheMembersAreKnownAnyFreshWordCounts") {
  ControlContact contact(Limit);
  CHECK(contact.isLost(Start));
  contact.heard(Start, "a1", true);
  CHECK(!contact.isLost(Start));
}
