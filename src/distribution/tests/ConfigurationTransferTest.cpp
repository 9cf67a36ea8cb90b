// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Transfer of a delta from a control VM to an entry VM, part by part.

#include "distribution/ConfigurationFetch.h"
#include "distribution/ConfigurationSender.h"

#include "control/tests/RouteListDocument.h"

#include <doctest/doctest.h>

#include <deque>

using namespace stepledge;
using namespace stepledge::distribution;
using control::tests::decodeRouteList;
using control::tests::routeListDocument;

namespace {

const std::string SenderIp = "10.0.0.1";
const std::string OtherIp = "10.0.0.2";
const std::string ReceiverIp = "10.5.0.1";

control::Configuration routes(std::uint64_t version, int count) {
  return *decodeRouteList(routeListDocument(version, count));
}

/// Records the requests of a fetch.
struct Requests : public peer::IPeerSender {
  bool send(const std::string &ip,
            const peer::wire::Message &message) override {
    Sent.emplace_back(ip, message.configuration_request());
    return true;
  }
  void keepConnected(const std::set<std::string> &ips) override { (void)ips; }

  std::deque<std::pair<std::string, peer::wire::ConfigurationRequest>> Sent;
};

struct Fixture {
  Fixture() { Sender.take(routes(4, 2000)); }

  /// Returns the sender's answer to the oldest request.
  peer::wire::ConfigurationPart answer() {
    REQUIRE(!Out.Sent.empty());
    const auto request = Out.Sent.front().second;
    Out.Sent.pop_front();
    const auto part = Sender.answer(ReceiverIp, request);
    REQUIRE(part);
    return *part;
  }
  PartResult exchange() { return Fetch.take(SenderIp, answer()); }

  Requests Out;
  ConfigurationSender Sender;
  ConfigurationFetch Fetch{Out};
  TimePoint Now = TimePoint(std::chrono::seconds(5));
};

} // namespace

TEST_CASE("ConfigurationTransfer_OnePartIsInFlightAtATime") {
  Fixture it;
  REQUIRE(it.Fetch.start(it.Now, SenderIp, 0));
  int parts = 1;
  while (it.exchange() == PartResult::Taken) {
    ++parts;
    CHECK(it.Out.Sent.size() == 1);
  }
  CHECK(parts >= 5);
  CHECK(it.Out.Sent.empty());
  CHECK(it.Fetch.delta().To == 4);
  CHECK(it.Fetch.delta().Routes.size() == 2000);
}

TEST_CASE("ConfigurationTransfer_PartInFlightIsNotRequestedAgain") {
  Fixture it;
  it.Fetch.start(it.Now, SenderIp, 0);
  for (int i = 0; i < 9; ++i) {
    it.Now += milliseconds(100);
    CHECK(!it.Fetch.start(it.Now, OtherIp, 0));
  }
  CHECK(it.Out.Sent.size() == 1);
}

TEST_CASE("ConfigurationTransfer_SilentControlVmIsAbandoned") {
  Fixture it;
  it.Fetch.start(it.Now, SenderIp, 0);
  it.Now += milliseconds(1001);
  CHECK(it.Fetch.start(it.Now, OtherIp, 0));
  CHECK(it.Out.Sent.back().first == OtherIp);
  // The late answer of the first control VM doesn't belong to the new fetch.
  CHECK(it.exchange() == PartResult::Unexpected);
  // The next control VM gets twice as long.
  it.Now += milliseconds(1500);
  CHECK(!it.Fetch.start(it.Now, SenderIp, 0));
  it.Now += milliseconds(600);
  CHECK(it.Fetch.start(it.Now, SenderIp, 0));
}

TEST_CASE("ConfigurationTransfer_TwoSilentControlVmsLeaveTimeForAThird") {
  // A change is in force three seconds after its acknowledgement.
  constexpr Duration Target = milliseconds(3000);
  constexpr Duration NoticeInterval = milliseconds(250);
  Fixture it;
  const TimePoint begin = it.Now;
  const std::string third = "10.0.0.3";
  while (it.Out.Sent.empty() || it.Out.Sent.back().first != third) {
    for (const auto &ip : {SenderIp, OtherIp, third})
      it.Fetch.start(it.Now, ip, 0);
    it.Now += NoticeInterval;
    REQUIRE(it.Now - begin < Target);
  }
}

TEST_CASE("ConfigurationTransfer_SilentControlVmIsRetriedLaterThanAnotherOne") {
  Fixture it;
  it.Fetch.start(it.Now, SenderIp, 0);
  it.Now += milliseconds(1500);
  CHECK(!it.Fetch.start(it.Now, SenderIp, 0));
  it.Now += milliseconds(501);
  CHECK(it.Fetch.start(it.Now, SenderIp, 0));
}

TEST_CASE("ConfigurationTransfer_SlowControlVmIsAbandoned") {
  Fixture it;
  it.Fetch.start(it.Now, SenderIp, 0);
  Duration took{};
  while (!it.Fetch.start(it.Now + took, OtherIp, 0)) {
    took += milliseconds(100);
    REQUIRE(took < milliseconds(3000));
    if (took.count() % milliseconds(900).count() == 0)
      CHECK(it.exchange() == PartResult::Taken);
  }
  CHECK(took > milliseconds(1000));
  CHECK(it.Out.Sent.back().first == OtherIp);
}

TEST_CASE("ConfigurationTransfer_RejectedDeltasBackOff") {
  Fixture it;
  int fetches = 0;
  for (int i = 0; i < 400; ++i) {
    it.Now += milliseconds(25);
    if (!it.Fetch.start(it.Now, i % 2 == 0 ? SenderIp : OtherIp, 0))
      continue;
    ++fetches;
    it.Fetch.connectionLost(it.Out.Sent.back().first);
    it.Fetch.reject(it.Now);
  }
  // At most four fetches in ten seconds, with pauses of 1, 2, 4 and 8 s.
  CHECK(fetches <= 4);
  it.Fetch.accept();
  it.Now += milliseconds(8000);
  CHECK(it.Fetch.start(it.Now, SenderIp, 0));
}

TEST_CASE("ConfigurationTransfer_LostConnectionEndsTheFetch") {
  Fixture it;
  it.Fetch.start(it.Now, SenderIp, 0);
  it.Fetch.connectionLost(OtherIp);
  CHECK(!it.Fetch.start(it.Now, OtherIp, 0));
  it.Fetch.connectionLost(SenderIp);
  CHECK(it.Fetch.start(it.Now, OtherIp, 0));
}

TEST_CASE("ConfigurationTransfer_NewerConfigurationDoesNotAbortTheTransfer") {
  Fixture it;
  it.Fetch.start(it.Now, SenderIp, 0);
  CHECK(it.exchange() == PartResult::Taken);
  it.Sender.take(routes(6, 2001));
  while (it.exchange() == PartResult::Taken)
    ;
  CHECK(it.Fetch.delta().To == 4);
  it.Fetch.start(it.Now, SenderIp, 4);
  CHECK(it.exchange() == PartResult::Complete);
  CHECK(it.Fetch.delta().From == 4);
  CHECK(it.Fetch.delta().To == 6);
}

TEST_CASE("ConfigurationTransfer_NothingIsSentForTheNewestVersion") {
  Fixture it;
  it.Fetch.start(it.Now, SenderIp, 4);
  CHECK(!it.Sender.answer(ReceiverIp, it.Out.Sent.front().second));
}

TEST_CASE("ConfigurationTransfer_PartOfAnUnknownFetchIsNotSent") {
  Fixture it;
  it.Fetch.start(it.Now, SenderIp, 0);
  it.exchange();
  it.Sender.forget(ReceiverIp);
  CHECK(!it.Sender.answer(ReceiverIp, it.Out.Sent.front().second));
}
