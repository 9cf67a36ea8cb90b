// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Entry VMs tell each other the addresses of control VMs.

#include "entry/ControlDiscovery.h"
#include "entry/tests/EntryFixture.h"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace stepledge;
using namespace stepledge::entry;

namespace {

/// The connections to other entry VMs, all of which are there.
struct FakeHub : public peer::IPeerSender {
  bool send(const std::string &ip,
            const peer::wire::Message &message) override {
    if (!Kept.contains(ip) && !IsIncoming)
      return false;
    Sent.emplace_back(ip, message);
    return true;
  }
  void keepConnected(const std::set<std::string> &ips) override { Kept = ips; }

  bool IsIncoming = false;
  std::set<std::string> Kept;
  std::vector<std::pair<std::string, peer::wire::Message>> Sent;
};

struct Searching : public entry::tests::EntryFixture {
  Searching() : Borrowed(Io, Asked, Io) {
    Askers.IsIncoming = true;
    peer::wire::Message message;
    message.mutable_notice()->set_is_fresh(true);
    message.mutable_notice()->add_control_ips("10.0.0.1");
    for (const auto *ip : {"10.1.0.1", "10.1.0.2", "10.1.0.3", "10.1.0.4"})
      message.mutable_notice()->add_entries()->set_ip(ip);
    Node.peerSaid("10.0.0.1", message);
  }

  void pass(Duration time) {
    constexpr Duration Step = milliseconds(50);
    for (const TimePoint end = Now + time; Now < end;) {
      advance(Step);
      Discovery.tick(Now);
    }
  }

  std::set<std::string> askedIps() const {
    std::set<std::string> ips;
    for (const auto &[ip, message] : Asked.Sent)
      if (message.has_control_members_wanted())
        ips.insert(ip);
    return ips;
  }

  FakeHub Asked;
  FakeHub Askers;
  BorrowedConnections Borrowed;
  ControlDiscovery Discovery{Node, Asked, Askers, Borrowed, Io};
};

} // namespace

TEST_CASE_FIXTURE(Searching,
                  "ControlDiscovery_AsksNobodyWhileAMajorityIsHeard") {
  for (int i = 0; i < 10; ++i) {
    notice(0, true);
    pass(milliseconds(200));
  }
  CHECK(askedIps().empty());
  CHECK(Asked.Kept.empty());
}

TEST_CASE_FIXTURE(Searching, "ControlDiscovery_AsksAllOthersInTurn") {
  pass(milliseconds(1200));
  CHECK(askedIps().size() == ControlDiscovery::ConcurrentQueries);
  pass(milliseconds(1000));
  // Not itself, which is 10.1.0.1.
  CHECK(askedIps() ==
        std::set<std::string>{"10.1.0.2", "10.1.0.3", "10.1.0.4"});
  CHECK(Asked.Kept.size() == ControlDiscovery::ConcurrentQueries);
}

TEST_CASE_FIXTURE(Searching, "ControlDiscovery_ToldAddressesAreConnectedTo") {
  pass(milliseconds(1200));
  peer::wire::Message message;
  message.mutable_control_members()->add_ips("10.0.0.9");
  Discovery.peerSaid("10.1.0.2", message);
  CHECK(Control.Ips.contains("10.0.0.9"));
}

TEST_CASE_FIXTURE(Searching, "ControlDiscovery_EndsOnceAMajorityIsHeard") {
  pass(milliseconds(1200));
  CHECK(!Asked.Kept.empty());
  notice(0, true);
  pass(milliseconds(50));
  CHECK(Asked.Kept.empty());
}

TEST_CASE_FIXTURE(Searching,
                  "ControlDiscovery_OnlyAVmThatHearsAMajorityAnswers") {
  ControlDiscoveryAskers askers(Discovery);
  peer::wire::Message message;
  message.mutable_control_members_wanted();
  askers.peerSaid("10.1.0.2", message);
  REQUIRE(Askers.Sent.size() == 1);
  CHECK(Askers.Sent.front().second.control_members().ips_size() == 1);
  pass(milliseconds(1200));
  askers.peerSaid("10.1.0.2", message);
  CHECK(Askers.Sent.size() == 1);
}
