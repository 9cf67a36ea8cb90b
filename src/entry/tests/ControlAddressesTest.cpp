// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Which control VMs an entry VM is to be connected to.

#include "entry/ControlAddresses.h"
#include "entry/tests/EntryFixture.h"

#include <doctest/doctest.h>

#include <string>

using namespace stepledge;
using namespace stepledge::entry;
using Ips = ControlAddresses::Ips;

namespace {

/// A full notice of the control VM at \p ip.
void tellMembers(entry::tests::EntryFixture &it, const std::string &ip,
                 const Ips &members, bool isFresh) {
  peer::wire::Message message;
  message.mutable_notice()->set_is_fresh(isFresh);
  for (const auto &member : members)
    message.mutable_notice()->add_control_ips(member);
  it.Node.peerSaid(ip, message);
}

} // namespace

TEST_CASE("ControlAddresses_FormerMembersAreWantedWhileControlIsLost") {
  ControlAddresses it({"s"});
  it.setMembers({"a", "b"});
  it.setMembers({"b", "c"});
  CHECK(it.wanted(false, {}) == Ips{"s", "b", "c"});
  CHECK(it.wanted(true, {}) == Ips{"s", "a", "b", "c"});
}

TEST_CASE("ControlAddresses_CandidatesAreWantedWhileControlIsLost") {
  ControlAddresses it({"s"});
  it.add({"x"});
  CHECK(it.wanted(false, {"y"}) == Ips{"s", "y"});
  CHECK(it.wanted(true, {"y"}) == Ips{"s", "x", "y"});
}

TEST_CASE("ControlAddresses_ManyCandidatesReplaceTheOldest") {
  ControlAddresses it({});
  for (std::size_t i = 0; i <= ControlAddresses::MaxCandidates; ++i)
    it.add({"x" + std::to_string(i)});
  const auto wanted = it.wanted(true, {});
  CHECK(wanted.size() == ControlAddresses::MaxCandidates);
  CHECK(!wanted.contains("x0"));
}

TEST_CASE("ControlAddresses_OldStateDropsNoMember") {
  entry::tests::EntryFixture it;
  tellMembers(it, "10.0.0.1", {"10.0.0.7", "10.0.0.8"}, true);
  tellMembers(it, "10.0.0.2", {"10.0.0.1", "10.0.0.2"}, false);
  CHECK(it.Control.Ips.contains("10.0.0.7"));
  CHECK(it.Control.Ips.contains("10.0.0.8"));
}

TEST_CASE("ControlAddresses_SeedsOfTheSettingsAreTriedWithoutANotice") {
  entry::tests::EntryFixture it;
  it.Node.setSeeds({"10.0.0.9"});
  CHECK(it.Control.Ips.contains("10.0.0.9"));
}

TEST_CASE("ControlAddresses_AreLookedForOnceNoMajorityIsHeard") {
  entry::tests::EntryFixture it;
  it.notice(1, true);
  CHECK(!it.Node.needsControlAddresses(it.Now));
  it.cutOffFor(milliseconds(800));
  CHECK(!it.Node.needsControlAddresses(it.Now));
  it.cutOffFor(milliseconds(300));
  CHECK(it.Node.needsControlAddresses(it.Now));
  it.Node.addControlAddresses({"10.0.0.9"});
  CHECK(it.Control.Ips.contains("10.0.0.9"));
  it.notice(1, true);
  CHECK(!it.Node.needsControlAddresses(it.Now));
  CHECK(!it.Control.Ips.contains("10.0.0.9"));
}
