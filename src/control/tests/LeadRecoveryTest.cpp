// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A service gets a primary that the group records, whatever became of
/// the one that was believed to lead.

#include "control/ClusterState.h"
#include "control/tests/FakeControls.h"

#include <doctest/doctest.h>

#include <optional>
#include <set>
#include <utility>

using namespace stepledge;
using namespace stepledge::control;
using control::tests::FakeControls;
using membership::InstanceRole;
using membership::InstanceState;

namespace {

constexpr const char *EntryIps[] = {"10.9.0.1", "10.9.0.2", "10.9.0.3"};
constexpr Duration HeartbeatInterval = milliseconds(1200);
constexpr Duration ReportInterval = milliseconds(250);

/// A control group, the instances of one service, and entry VMs that report on
/// the instance that they take for the primary.
class Play {
public:
  Play() { Group.run(milliseconds(1500)); }

  void add(const std::string &id, InstanceRole role,
           const std::string &address = "") {
    auto &it = Records[id];
    it.Id = InstanceId(id);
    it.Service = "db";
    it.Address = address.empty() ? "10.1.0.1:" + id : address;
    it.Role = role;
    Group.Platform.Statuses[it.Id] = {role, {{3}, {90}}, {3}, {3}};
    Group.Platform.Silent.erase(it.Id);
  }

  void addService() {
    add("p", InstanceRole::Primary);
    add("r1", InstanceRole::Replica);
    add("r2", InstanceRole::Replica);
    run(milliseconds(1000));
  }

  /// It answers nothing, and sends no heartbeats.
  void crash(const std::string &id) {
    Records.erase(id);
    Group.Platform.Statuses.erase(InstanceId(id));
    Group.Platform.Silent.insert(InstanceId(id));
  }

  void drain(const std::string &id) {
    Records.at(id).State = InstanceState::Leaving;
    sendHeartbeats();
  }

  /// It says that it ends, and ends.
  void deregister(const std::string &id) {
    Group.node(Group.leader())
        .deregisterInstance(Group.now(), InstanceId(id), std::nullopt,
                            [](bool) {});
    run(milliseconds(100));
    crash(id);
  }

  /// The platform gives no answers, and carries nothing out.
  void setPlatform(bool isUp) {
    Group.Platform.AnswersOrders = isUp;
    CarriesOutOrders = isUp;
  }

  /// Whether the recorded primary is one that runs and leads.
  bool isLed() {
    const auto it = Records.find(recorded());
    return it != Records.end() && it->second.Role == InstanceRole::Primary;
  }

  /// It leads the next term.
  void lead(const std::string &id) {
    for (auto &[other, it] : Records) {
      it.Role = other == id ? InstanceRole::Primary : InstanceRole::Replica;
      auto &status = Group.Platform.Statuses[it.Id];
      status.Role = it.Role;
      status.Current = Term{4};
    }
  }

  void run(Duration time) {
    for (Duration at{}; at < time; at += milliseconds(50)) {
      if (Group.now() >= HeartbeatsAt)
        sendHeartbeats();
      if (Group.now() >= ReportsAt)
        reportSight();
      Group.run(milliseconds(50));
      carryOutOrders();
    }
  }

  void sendHeartbeats() {
    HeartbeatsAt = Group.now() + HeartbeatInterval;
    if (Group.leader() >= 3)
      return;
    for (auto &[id, it] : Records) {
      ++it.Sequence;
      if (!Unheard.contains(id))
        Group.node(Group.leader()).receiveHeartbeat(Group.now(), it, [](bool) {
        });
    }
  }

  /// The instance that the newest notices to entry VMs name as promoted.
  std::string recorded() {
    std::string instance;
    peer::wire::Hello hello;
    hello.set_kind(peer::wire::ENTRY);
    hello.set_ip("10.9.0.9");
    Group.connectPeer("10.9.0.9", Group.leader(), hello);
    for (const auto &it : Group.sentTo("10.9.0.9"))
      for (const auto &promotion : it.notice().promotions())
        instance = promotion.instance();
    return instance;
  }

  FakeControls Group;
  std::map<std::string, membership::InstanceRecord> Records;
  /// Instances whose heartbeats don't arrive.
  std::set<std::string> Unheard;
  /// What entry VMs take for the primary; nothing if they know of none.
  std::string Sighted = "p";
  bool CarriesOutOrders = true;

private:
  void reportSight() {
    ReportsAt = Group.now() + ReportInterval;
    if (Group.leader() >= 3)
      return;
    if (Records.contains(Sighted))
      SilentSince.reset();
    else if (!SilentSince)
      SilentSince = Group.now();
    for (const char *ip : EntryIps) {
      peer::wire::Message message;
      auto &sight = *message.mutable_sights()->add_sights();
      sight.set_service("db");
      sight.set_instance(Sighted);
      const Duration silent =
          SilentSince ? Group.now() - *SilentSince : Duration{};
      sight.set_silent_ms(static_cast<std::uint64_t>(toMilliseconds(silent)));
      Group.sendFromPeer(ip, Group.leader(), message);
    }
  }

  void carryOutOrders() {
    auto &orders = Group.Platform.Orders;
    if (std::exchange(Seen, orders.size()) == orders.size())
      return;
    // An order that isn't carried out now never is.
    if (!CarriesOutOrders)
      return;
    if (Records.contains(orders.back().Instance.str()))
      lead(orders.back().Instance.str());
    sendHeartbeats();
  }

  TimePoint HeartbeatsAt{};
  TimePoint ReportsAt{};
  std::optional<TimePoint> SilentSince;
  std::size_t Seen = 0;
};

} // namespace

TEST_CASE("LeadRecovery_PrimaryThatIsBackUnderANewIdIsRecorded") {
  // Control found each time that some primary answers, and told nobody which.
  for (const char *id : {"a-new-id", "z-new-id"}) {
    CAPTURE(id);
    Play play;
    play.addService();
    play.crash("p");
    play.run(milliseconds(200));
    play.add(id, InstanceRole::Primary, "10.1.0.1:p");
    play.sendHeartbeats();
    play.run(milliseconds(2500));
    CHECK(play.Group.Platform.Orders.empty());
    CHECK(play.recorded() == id);
  }
}

TEST_CASE("LeadRecovery_PrimaryThatIsBackThreeTimesInARowIsRecorded") {
  Play play;
  play.addService();
  std::string last = "p";
  for (const char *id : {"m", "a", "z"}) {
    play.crash(last);
    play.run(milliseconds(200));
    play.add(id, InstanceRole::Primary, "10.1.0.1:p");
    play.sendHeartbeats();
    last = id;
  }
  play.run(milliseconds(4000));
  CHECK(play.Group.Platform.Orders.empty());
  CHECK(play.recorded() == "z");
}

TEST_CASE("LeadRecovery_AllInstancesThatAreBackUnderNewIdsAreServed") {
  // Whichever comes back first, and after 0.3 to 6 s.
  for (const int downMs : {300, 900, 2500, 6000})
    for (const char *first : {"p2", "r12"}) {
      CAPTURE(downMs);
      CAPTURE(first);
      Play play;
      play.addService();
      for (const char *id : {"p", "r1", "r2"})
        play.crash(id);
      play.run(milliseconds(downMs));
      const auto back = [&](const std::string &id) {
        const bool leads = id == "p2" && play.Group.Platform.Orders.empty();
        play.add(id, leads ? InstanceRole::Primary : InstanceRole::Replica,
                 "10.1.0.1:" + id.substr(0, id.size() - 1));
        play.sendHeartbeats();
        play.run(milliseconds(700));
      };
      back(first);
      for (const char *id : {"p2", "r12", "r22"})
        if (id != std::string(first))
          back(id);
      play.run(milliseconds(4000));
      const auto recorded = play.recorded();
      REQUIRE(play.Records.contains(recorded));
      CHECK(play.Records.at(recorded).Role == InstanceRole::Primary);
    }
}

TEST_CASE(
    "LeadRecovery_PromotionThatItsLeaderDidNotRecordIsRecordedByTheNext") {
  Play play;
  play.addService();
  play.Group.Platform.HoldsOrders = true;
  play.crash("p");
  play.run(milliseconds(2500));
  REQUIRE(!play.Group.Platform.Orders.empty());
  const auto promoted = play.Group.Platform.Orders.back().Instance.str();
  // The order is carried out; its answer doesn't come before the leader ends.
  play.Group.kill(play.Group.leader());
  play.Group.Platform.HoldsOrders = false;
  const auto orders = play.Group.Platform.Orders.size();
  play.run(milliseconds(6000));
  CHECK(play.Group.Platform.Orders.size() == orders);
  CHECK(play.recorded() == promoted);
}

TEST_CASE("LeadRecovery_TargetOfAnUnansweredOrderThatEndsIsNotWaitedFor") {
  // Entry VMs believed in the target, control in the old primary: neither
  // reported on what the other one watched.
  Play play;
  play.addService();
  play.Group.Platform.AnswersOrders = false;
  play.CarriesOutOrders = false;
  play.crash("p");
  play.run(milliseconds(2500));
  REQUIRE(!play.Group.Platform.Orders.empty());
  const auto target = play.Group.Platform.Orders.back().Instance.str();
  const std::string other = target == "r1" ? "r2" : "r1";
  play.crash(target);
  play.Sighted = target;
  play.Group.Platform.AnswersOrders = true;
  play.CarriesOutOrders = true;
  play.run(milliseconds(12000));
  CHECK(play.Group.Platform.Orders.back().Instance.str() == other);
  CHECK(play.recorded() == other);
}

TEST_CASE("LeadRecovery_SilentPrimaryIsReplacedHoweverLongItWas") {
  // Its record expired after 20 s, and nobody knew that a primary was missing.
  for (const bool endsControl : {false, true}) {
    CAPTURE(endsControl);
    Play play;
    play.addService();
    // Entry VMs reach it, so it isn't replaced, while its heartbeats are lost.
    play.Unheard = {"p"};
    play.run(milliseconds(26000));
    CHECK(play.Group.Platform.Orders.empty());
    play.crash("p");
    if (endsControl)
      play.Group.restartAll();
    play.run(milliseconds(8000));
    CHECK(play.Group.Platform.Orders.size() >= 1);
    CHECK(play.Records.contains(play.recorded()));
  }
}

TEST_CASE("LeadRecovery_EntriesThatKnowNoPrimaryReportTheService") {
  Play play;
  play.addService();
  play.Sighted = "";
  play.crash("p");
  play.run(milliseconds(4000));
  CHECK(play.Group.Platform.Orders.size() >= 1);
}

TEST_CASE("LeadRecovery_ServiceThatNeverHadAPrimaryWaitsForIt") {
  Play play;
  play.add("r1", InstanceRole::Replica);
  play.add("r2", InstanceRole::Replica);
  play.Sighted = "";
  play.run(milliseconds(25000));
  CHECK(play.Group.Platform.Orders.empty());
  play.add("p", InstanceRole::Primary);
  play.Sighted = "p";
  play.run(milliseconds(5000));
  CHECK(play.Group.Platform.Orders.empty());
}

TEST_CASE("LeadRecovery_PrimaryThatLeftWhileThePlatformWasDownIsReplaced") {
  // Once it was deregistered no order was given again.
  for (const int downMs : {9000, 12000, 30000}) {
    CAPTURE(downMs);
    Play play;
    play.addService();
    play.setPlatform(false);
    play.drain("p");
    play.run(milliseconds(8000));
    play.deregister("p");
    play.Sighted = "";
    play.run(milliseconds(downMs - 8000));
    play.setPlatform(true);
    play.run(milliseconds(4000));
    CHECK(play.isLed());
  }
}

TEST_CASE("LeadRecovery_ServiceLeftWithoutAPrimaryIsServedAfterAWholeRestart") {
  // The next leader has never heard of the primary that left.
  Play play;
  play.addService();
  play.setPlatform(false);
  play.drain("p");
  play.run(milliseconds(8000));
  play.deregister("p");
  play.Sighted = "";
  play.Group.restartAll();
  play.run(milliseconds(2000));
  play.setPlatform(true);
  play.run(milliseconds(8000));
  CHECK(play.isLed());
}

TEST_CASE("LeadRecovery_PrimaryThatIsHeardOnlyAfterARestartIsNotReplaced") {
  // The log has replicas, and that the service has had a primary.
  Play play;
  play.addService();
  play.deregister("p");
  play.CarriesOutOrders = false;
  play.Group.restartAll();
  play.add("q", InstanceRole::Primary);
  play.Unheard = {"q"};
  const auto orders = play.Group.Platform.Orders.size();
  play.run(milliseconds(2000));
  play.Unheard.clear();
  play.Sighted = "q";
  play.run(milliseconds(6000));
  CHECK(play.Group.Platform.Orders.size() == orders);
}

TEST_CASE("LeadRecovery_ServiceWhoseInstancesAllFollowGetsAPrimary") {
  // The old primary lost its lead to a replica that ended for good, and the
  // promotion was recorded by nobody.
  Play play;
  play.addService();
  play.lead("r1");
  play.crash("r1");
  play.Unheard = {"r1"};
  play.sendHeartbeats();
  play.Sighted = "";
  play.run(milliseconds(9000));
  CHECK(play.isLed());
}

TEST_CASE("LeadRecovery_PlatformThatIsDownForAnyTimeDelaysNoLongerThanThat") {
  // Longer than each of the limits of an attempt, an order and a record.
  for (const int downMs : {300, 1500, 2600, 3100, 5100, 21000}) {
    CAPTURE(downMs);
    Play play;
    play.addService();
    play.setPlatform(false);
    play.crash("p");
    play.run(milliseconds(downMs));
    play.setPlatform(true);
    play.run(milliseconds(6000));
    CHECK(play.isLed());
  }
}

TEST_CASE("LeadRecovery_PrimaryThatLeavesAtOnceIsReplaced") {
  // No order was given for it before; nor has the next leader heard of it.
  for (const bool endsControl : {false, true}) {
    CAPTURE(endsControl);
    Play play;
    play.addService();
    play.setPlatform(!endsControl);
    play.deregister("p");
    play.Sighted = "";
    if (endsControl)
      play.Group.restartAll();
    play.setPlatform(true);
    play.run(milliseconds(8000));
    CHECK(play.isLed());
  }
}

TEST_CASE("LeadRecovery_LogThatAPromotionGaveUpIsNotPromotedAgain") {
  // The old primary's log was the longest of those that answered; with it, what
  // the first promotion had rolled back came into force again.
  for (const bool hasOther : {true, false}) {
    CAPTURE(hasOther);
    Play play;
    play.addService();
    auto &statuses = play.Group.Platform.Statuses;
    const auto old = statuses[InstanceId("p")];
    statuses[InstanceId("r1")].Received = {{3}, {80}};
    statuses[InstanceId("r2")].Received = {{3}, {70}};
    play.crash("p");
    play.run(milliseconds(3000));
    REQUIRE(play.recorded() == "r1");
    // The old primary is back with the commits that r1 lacked.
    play.Sighted = "r1";
    play.add("p", InstanceRole::Replica);
    statuses[InstanceId("p")].Received = old.Received;
    if (!hasOther)
      play.crash("r2");
    play.run(milliseconds(2000));
    play.crash("r1");
    const auto orders = play.Group.Platform.Orders.size();
    play.run(milliseconds(5000));
    for (auto i = orders; i < play.Group.Platform.Orders.size(); ++i)
      CHECK(play.Group.Platform.Orders[i].Instance == InstanceId("r2"));
    CHECK(play.isLed() == hasOther);
    // Where no other comes back, it is better than none.
    play.run(milliseconds(8000));
    CHECK(play.isLed());
  }
}

TEST_CASE("LeadRecovery_EachWaitForAnotherLogIsAWholeOne") {
  // The wait of an earlier episode was taken for that of the next one.
  Play play;
  play.addService();
  auto &statuses = play.Group.Platform.Statuses;
  statuses[InstanceId("r1")].Received = {{3}, {80}};
  play.crash("r2");
  play.crash("p");
  play.run(milliseconds(9000));
  REQUIRE(play.recorded() == "r1");
  play.Sighted = "r1";
  play.add("p", InstanceRole::Replica);
  play.run(milliseconds(24000));
  for (int episode = 0; episode < 2; ++episode) {
    CAPTURE(episode);
    const auto orders = play.Group.Platform.Orders.size();
    play.crash("r1");
    play.run(milliseconds(5000));
    CHECK(play.Group.Platform.Orders.size() == orders);
    // The instance that crashed is back, and leads.
    play.Group.Platform.Silent.clear();
    play.add("r1", InstanceRole::Primary);
    statuses[InstanceId("r1")].Received = {{4}, {82}};
    statuses[InstanceId("r1")].Current = Term{4};
    play.run(milliseconds(9000));
  }
}

TEST_CASE("LeadRecovery_ReportToLeadCountsBeforeThePromotionIsRecordedToo") {
  peer::wire::Instance record;
  record.set_id("r1");
  record.set_service("db");
  record.set_is_primary(true);
  wire::Command keep;
  keep.mutable_keep_instance()->set_instance("r1");
  keep.mutable_keep_instance()->set_record(record.SerializeAsString());
  wire::Command promotion;
  promotion.mutable_record_promotion()->set_service("db");
  promotion.mutable_record_promotion()->set_instance("r1");
  promotion.mutable_record_promotion()->set_fence(7);
  for (const bool isKeptFirst : {true, false}) {
    CAPTURE(isKeptFirst);
    ClusterState state;
    state.apply(8, isKeptFirst ? keep : promotion);
    state.apply(9, isKeptFirst ? promotion : keep);
    CHECK(state.promotions().at("db").has_led());
    CHECK(state.hasLed("db"));
  }
}

TEST_CASE("LeadRecovery_OrderThatWasNeverCarriedOutGivesNoLogUp") {
  Play play;
  play.addService();
  auto &statuses = play.Group.Platform.Statuses;
  statuses[InstanceId("r1")].Received = {{3}, {80}};
  statuses[InstanceId("r2")].Received = {{3}, {70}};
  play.setPlatform(false);
  play.crash("p");
  play.run(milliseconds(2500));
  REQUIRE(!play.Group.Platform.Orders.empty());
  // The old primary was only cut off, and its replicas receive more.
  play.Group.Platform.Silent.clear();
  play.add("p", InstanceRole::Primary);
  statuses[InstanceId("r1")].Received = {{3}, {120}};
  statuses[InstanceId("r2")].Received = {{3}, {75}};
  play.run(milliseconds(4000));
  play.setPlatform(true);
  play.crash("p");
  play.run(milliseconds(6000));
  CHECK(play.recorded() == "r1");
}
