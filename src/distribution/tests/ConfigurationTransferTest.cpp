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
  PartResult exchange() { return Fetch.take(Now, SenderIp, answer()); }

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
  const TimePoint end = it.Now + ConfigurationFetch::StallTimeout;
  for (; it.Now <= end; it.Now += milliseconds(100))
    CHECK(!it.Fetch.start(it.Now, OtherIp, 0));
  CHECK(it.Out.Sent.size() == 1);
  // Nor later from the same control VM, while the next one is waited for.
  CHECK(it.Fetch.start(it.Now, OtherIp, 0));
  CHECK(!it.Fetch.start(it.Now, SenderIp, 0));
  CHECK(it.Out.Sent.size() == 2);
}

TEST_CASE("ConfigurationTransfer_SilentControlVmIsNotWaitedFor") {
  Fixture it;
  it.Fetch.start(it.Now, SenderIp, 0);
  it.Now += ConfigurationFetch::StallTimeout + milliseconds(1);
  CHECK(it.Fetch.start(it.Now, OtherIp, 0));
  CHECK(it.Out.Sent.back().first == OtherIp);
  // The late answer of the first control VM goes on with its own fetch.
  CHECK(it.exchange() == PartResult::Taken);
}

TEST_CASE("ConfigurationTransfer_NoWaitGrowsWithThoseBeforeIt") {
  Fixture it;
  TimePoint lastAt = it.Now;
  std::size_t sent = 0;
  for (const TimePoint end = it.Now + milliseconds(60000); it.Now < end;
       it.Now += milliseconds(50)) {
    for (const auto &ip : {SenderIp, OtherIp})
      it.Fetch.start(it.Now, ip, 0);
    if (std::exchange(sent, it.Out.Sent.size()) != it.Out.Sent.size())
      lastAt = it.Now;
    CHECK(it.Now - lastAt <= ConfigurationFetch::RetryInterval);
  }
  // Two control VMs that never answer are sent two requests in two seconds.
  CHECK(sent <= 62);
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

TEST_CASE("ConfigurationTransfer_SlowControlVmIsNotWaitedForAlone") {
  for (const Duration partTime : {milliseconds(400), milliseconds(900)}) {
    Fixture it;
    it.Fetch.start(it.Now, SenderIp, 0);
    Duration took{};
    while (!it.Fetch.start(it.Now, OtherIp, 0)) {
      it.Now += milliseconds(100);
      took += milliseconds(100);
      REQUIRE(took < milliseconds(3000));
      if (took % partTime == Duration{})
        CHECK(it.exchange() == PartResult::Taken);
    }
    CHECK(took > ConfigurationFetch::StallTimeout);
    CHECK(it.Out.Sent.back().first == OtherIp);
  }
}

TEST_CASE("ConfigurationTransfer_LinkThatIsSlowToAllControlVmsIsEnough") {
  // Each part is longer on its way than a control VM is waited for.
  constexpr Duration PartTime = milliseconds(700);
  Fixture it;
  int parts = 0;
  bool isComplete = false;
  for (TimePoint end = it.Now + milliseconds(60000); it.Now < end;) {
    it.Now += milliseconds(50);
    it.Fetch.start(it.Now, OtherIp, 0);
    it.Fetch.start(it.Now, SenderIp, 0);
    std::erase_if(it.Out.Sent,
                  [](const auto &sent) { return sent.first == OtherIp; });
    const bool isDue = it.Now.time_since_epoch() % PartTime == Duration{};
    if (!isDue || it.Out.Sent.empty())
      continue;
    ++parts;
    isComplete = it.exchange() == PartResult::Complete;
    if (isComplete)
      break;
  }
  CHECK(isComplete);
  CHECK(parts >= 5);
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
  // At most four fetches of a whole configuration in ten seconds, with pauses
  // of 1, 2, 4 and 8 s.
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

TEST_CASE("ConfigurationTransfer_FetchEndsWhereNothingIsSent") {
  Fixture it;
  it.Fetch.start(it.Now, SenderIp, 4);
  peer::wire::ConfigurationPart nothing;
  nothing.set_fetch(it.Out.Sent.front().second.fetch());
  CHECK(it.Fetch.take(it.Now, SenderIp, nothing) == PartResult::Nothing);
  CHECK(it.Fetch.start(it.Now, OtherIp, 4));
}

TEST_CASE("ConfigurationTransfer_RejectedDeltaDelaysTheWholeByItsPauseOnly") {
  Fixture it;
  for (int i = 0; i < 5; ++i) {
    REQUIRE(it.Fetch.start(it.Now, SenderIp, 3));
    while (it.exchange() == PartResult::Taken)
      continue;
    it.Fetch.reject(it.Now);
    CHECK(!it.Fetch.start(it.Now, SenderIp, 0));
    it.Now += ConfigurationFetch::DeltaRejectedPause;
  }
  CHECK(it.Fetch.start(it.Now, SenderIp, 0));
}

TEST_CASE("ConfigurationTransfer_PartOfAnUnknownFetchIsNotSent") {
  Fixture it;
  it.Fetch.start(it.Now, SenderIp, 0);
  it.exchange();
  it.Sender.forget(ReceiverIp);
  CHECK(!it.Sender.answer(ReceiverIp, it.Out.Sent.front().second));
}
