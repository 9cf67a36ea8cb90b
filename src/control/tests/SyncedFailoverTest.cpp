// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file No promoted instance lacks a commit that was answered, where commits
/// wait for a replica, whatever is late, restarts or ends meanwhile.

#include "control/tests/FakeControls.h"
#include "control/tests/SyncedService.h"

#include <doctest/doctest.h>

#include <functional>

using namespace stepledge;
using namespace stepledge::control;
using control::tests::FakeControls;
using control::tests::SyncedService;
using membership::InstanceState;

namespace {

constexpr std::size_t ControlVms = 3;
constexpr Duration StepTime = milliseconds(10);
constexpr Duration HeartbeatInterval = milliseconds(200);

/// A control group and a service whose commits wait for one replica.
class Play {
public:
  explicit Play(int replicas, const std::string &document = "sync")
      : Service(replicas), Group(Service, Service) {
    run(milliseconds(1500));
    configure(1, document);
    run(milliseconds(1500));
  }

  void configure(std::uint64_t version, const std::string &document) {
    Group.node(Group.leader())
        .putConfiguration(Group.now(), version, document, [](bool) {});
  }

  void run(Duration time) {
    for (Duration at{}; at < time; at += StepTime) {
      Group.run(StepTime);
      Service.step(Group.now());
      if (Group.now() >= HeartbeatsAt) {
        HeartbeatsAt = Group.now() + HeartbeatInterval;
        sendHeartbeats();
      }
    }
  }

  void sendHeartbeats() {
    if (Group.leader() >= ControlVms)
      return;
    for (const auto &it : Service.heartbeats())
      if (!Untold.contains(it.Id.str()))
        Group.node(Group.leader()).receiveHeartbeat(Group.now(), it, [](bool) {
        });
    if (HasPrimaryEnded)
      reportSilence();
  }

  /// The primary says that it drains.
  void drainPrimary() {
    Service.at("p").State = InstanceState::Leaving;
    sendHeartbeats();
  }

  /// The primary ends, and entry VMs notice it.
  void endPrimary() {
    Service.end("p");
    HasPrimaryEnded = true;
    reportSilence();
  }

  /// The primary answers again, and entry VMs reach it.
  void returnPrimary() {
    Service.at("p").IsRunning = true;
    HasPrimaryEnded = false;
    sendHeartbeats();
  }

  void reportSilence() {
    for (const char *ip : {"10.9.0.1", "10.9.0.2", "10.9.0.3"}) {
      peer::wire::Message message;
      auto &sight = *message.mutable_sights()->add_sights();
      sight.set_service("db");
      sight.set_instance("p");
      sight.set_born_ms(1);
      sight.set_silent_ms(2000);
      Group.sendFromPeer(ip, Group.leader(), message);
    }
  }

  SyncedService Service;
  FakeControls Group;
  /// Instances whose heartbeats don't arrive.
  std::set<std::string> Untold;

private:
  TimePoint HeartbeatsAt{};
  bool HasPrimaryEnded = false;
};

} // namespace

TEST_CASE("SyncedFailover_LateAnswersNeverCountAsPauses") {
  // An answer to STATUS that came during the pauses counted as one to PAUSE.
  for (int work = 10; work <= 700; work += 10) {
    CAPTURE(work);
    Play play(2);
    play.Service.at("r2").WorkTime = milliseconds(work);
    play.drainPrimary();
    play.run(milliseconds(4000));
    CHECK(play.Service.lost() == 0);
    // A replica that takes longer than a question waits can't be paused.
    CHECK(play.Service.promotions() == (work <= 500 ? 1 : 0));
    // Whatever happened, callers get answers again.
    const auto before = play.Service.acknowledged();
    play.run(milliseconds(1000));
    CHECK(play.Service.acknowledged() > before);
  }
}

TEST_CASE("SyncedFailover_ReplicaThatWasNeverPausedIsNotReliedOn") {
  for (int work = 10; work <= 500; work += 10) {
    CAPTURE(work);
    Play play(2);
    play.Service.at("r2").WorkTime = milliseconds(work);
    play.Service.at("r2").PauseTime = milliseconds(3000);
    play.drainPrimary();
    play.run(milliseconds(4000));
    CHECK(play.Service.lost() == 0);
    CHECK(play.Service.promotions() == 0);
  }
}

TEST_CASE("SyncedFailover_PausesOfAnEarlierLeaderEnd") {
  // A leader that has paused replicas ends; the next one has nothing to do.
  for (int at = 0; at <= 1000; at += 50) {
    CAPTURE(at);
    Play play(2);
    play.Service.at("p").WorkTime = milliseconds(600);
    play.reportSilence();
    play.run(milliseconds(at));
    play.Service.dropAnswers();
    play.Group.kill(play.Group.leader());
    play.Service.at("p").WorkTime = milliseconds(50);
    play.run(milliseconds(12000));
    const auto before = play.Service.acknowledged();
    play.run(milliseconds(2000));
    CHECK(play.Service.acknowledged() > before);
    CHECK(play.Service.lost() == 0);
  }
}

TEST_CASE("SyncedFailover_LateResumeNeverEndsALaterPause") {
  // One that waits in a slow instance's queue ended the next attempt's pause.
  for (int resume = 10; resume <= 2500; resume += 30) {
    CAPTURE(resume);
    Play play(2);
    play.Service.at("r1").ResumeTime = milliseconds(resume);
    play.Service.at("r2").WorkTime = milliseconds(600);
    play.drainPrimary();
    play.run(milliseconds(900));
    play.Service.at("r2").WorkTime = milliseconds(50);
    play.run(milliseconds(4000));
    CHECK(play.Service.lost() == 0);
    CHECK(play.Service.promotions() == 1);
  }
}

TEST_CASE("SyncedFailover_ReplicasStayPausedUntilAnOrderIsCarriedOut") {
  // They were resumed while the old primary still committed.
  for (const bool answers : {true, false})
    for (int time = 0; time <= 2400; time += 100) {
      CAPTURE(answers);
      CAPTURE(time);
      Play play(2);
      play.Service.PromotionTime = milliseconds(time);
      play.Service.AnswersOrders = answers;
      play.drainPrimary();
      while (!play.Service.ordered())
        play.run(StepTime);
      // What the other replica receives would be acknowledged, and lost.
      play.Service.at(play.Service.ordered()->str()).Lag = milliseconds(9000);
      play.run(milliseconds(7000));
      CHECK(play.Service.lost() == 0);
      CHECK(play.Service.promotions() >= 1);
      const auto before = play.Service.acknowledged();
      play.run(milliseconds(6000));
      CHECK(play.Service.acknowledged() > before);
    }
}

TEST_CASE("SyncedFailover_RestartVoidsThePauseThatWasAnswered") {
  for (int at = 0; at <= 1000; at += 10) {
    CAPTURE(at);
    Play play(2);
    play.Service.at("r2").WorkTime = milliseconds(300);
    play.drainPrimary();
    play.run(milliseconds(at));
    const bool isOrdered = play.Service.ordered().has_value();
    play.Service.restart("r1");
    play.sendHeartbeats();
    play.run(milliseconds(4000));
    // NOTE: an order can't be taken back.
    if (!isOrdered)
      CHECK(play.Service.lost() == 0);
    CHECK(play.Service.promotions() == 1);
  }
}

TEST_CASE("SyncedFailover_EndedReplicaCountsUntilItsSuccessorIsThere") {
  // Its log may alone hold a commit; it goes to a new instance at its address.
  for (const bool isTold : {true, false}) {
    CAPTURE(isTold);
    Play play(2);
    play.Service.at("r2").Lag = milliseconds(2000);
    play.run(milliseconds(500));
    play.Service.end("r1");
    if (isTold)
      play.Group.node(play.Group.leader())
          .deregisterInstance(play.Group.now(), InstanceId("r1"), 1,
                              [](bool) {});
    play.run(milliseconds(50));
    play.endPrimary();
    play.run(milliseconds(3000));
    CHECK(play.Service.promotions() == 0);
    play.Service.succeed("r1", isTold ? "r3" : "r1");
    play.run(milliseconds(4000));
    CHECK(play.Service.promotions() == 1);
    CHECK(play.Service.lost() == 0);
  }
}

TEST_CASE("SyncedFailover_PrimaryThatHasLeftIsNotWaitedFor") {
  // It counted as an ended replica that may alone hold a commit.
  Play play(2);
  play.Group.node(play.Group.leader())
      .deregisterInstance(play.Group.now(), InstanceId("p"), 1, [](bool) {});
  play.run(milliseconds(50));
  play.Service.end("p");
  play.run(milliseconds(4000));
  CHECK(play.Service.promotions() == 1);
  CHECK(play.Service.lost() == 0);
}

TEST_CASE("SyncedFailover_DrainingReplicaIsAskedAndOutranksAShorterLog") {
  for (const int lag : {50, 300, 1500}) {
    CAPTURE(lag);
    Play play(2);
    play.Service.at("r2").Lag = milliseconds(lag);
    play.Service.at("r1").State = InstanceState::Leaving;
    play.sendHeartbeats();
    play.run(milliseconds(200));
    play.drainPrimary();
    play.run(milliseconds(6000));
    CHECK(play.Service.lost() == 0);
    play.endPrimary();
    play.run(milliseconds(6000));
    CHECK(play.Service.lost() == 0);
    CHECK(play.Service.promotions() >= 1);
  }
}

TEST_CASE("SyncedFailover_SettingThatComesDuringAnAttemptHolds") {
  for (int at = 0; at <= 200; at += 10) {
    CAPTURE(at);
    Play play(2, "unsynced");
    for (const char *id : {"r1", "r2"})
      play.Service.at(id).WorkTime = milliseconds(240);
    play.drainPrimary();
    play.run(milliseconds(at));
    play.configure(2, "sync");
    play.run(milliseconds(4000));
    CHECK(play.Service.lost() == 0);
    CHECK(play.Service.promotions() == 1);
  }
}

TEST_CASE("SyncedFailover_LeaderCutOffAtAnyStepLosesNoCommit") {
  for (int at = 0; at <= 800; at += 10) {
    CAPTURE(at);
    Play play(2);
    play.drainPrimary();
    play.run(milliseconds(at));
    const auto leader = play.Group.leader();
    play.Group.isolate(leader);
    play.run(milliseconds(8000));
    play.Group.endIsolation(leader);
    CHECK(play.Service.lost() == 0);
    CHECK(play.Service.promotions() >= 1);
    const auto before = play.Service.acknowledged();
    play.run(milliseconds(6000));
    CHECK(play.Service.acknowledged() > before);
  }
}

TEST_CASE("SyncedFailover_ReplicaThatRestartsUnseenLosesNoCommit") {
  // It receives again though its pause was answered.
  for (int at = 0; at <= 1000; at += 10) {
    CAPTURE(at);
    Play play(2);
    play.Service.at("r2").WorkTime = milliseconds(300);
    play.Untold = {"r1"};
    play.drainPrimary();
    play.run(milliseconds(at));
    play.Service.restart("r1");
    play.run(milliseconds(4000));
    CHECK(play.Service.lost() == 0);
  }
}

TEST_CASE("SyncedFailover_ReplicasThatRestartUnseenInTurnLoseNoCommit") {
  // Right after the pause, before the order and after it; also twice.
  for (int at = 0; at <= 1500; at += 10) {
    CAPTURE(at);
    Play play(2);
    play.Service.at("r2").WorkTime = milliseconds(300);
    play.Untold = {"r1", "r2"};
    play.drainPrimary();
    play.run(milliseconds(at));
    play.Service.restart("r1");
    play.run(milliseconds(30));
    play.Service.restart("r2");
    play.run(milliseconds(100));
    play.Service.restart("r1");
    play.run(milliseconds(6000));
    CHECK(play.Service.lost() == 0);
    CHECK(play.Service.promotions() >= 1);
  }
}

TEST_CASE("SyncedFailover_TargetThatRestartsBeforeItLeadsLosesNoCommit") {
  for (int after = 0; after <= 400; after += 10) {
    CAPTURE(after);
    Play play(2);
    play.drainPrimary();
    while (!play.Service.ordered())
      play.run(StepTime);
    play.run(milliseconds(after));
    play.Service.restart(play.Service.ordered()->str());
    play.sendHeartbeats();
    play.run(milliseconds(5000));
    CHECK(play.Service.lost() == 0);
    const auto before = play.Service.acknowledged();
    play.run(milliseconds(1000));
    CHECK(play.Service.acknowledged() > before);
  }
}

TEST_CASE("SyncedFailover_DemotedPrimaryThatRestartsLosesNoCommit") {
  // None was promoted yet, so it comes back as primary.
  for (int at = 0; at <= 1000; at += 10) {
    CAPTURE(at);
    Play play(2);
    play.Service.at("r2").WorkTime = milliseconds(300);
    play.drainPrimary();
    play.run(milliseconds(at));
    play.Service.restartOldPrimary("p");
    play.run(milliseconds(6000));
    CHECK(play.Service.lost() == 0);
    const auto before = play.Service.acknowledged();
    play.run(milliseconds(6000));
    CHECK(play.Service.acknowledged() > before);
  }
}

TEST_CASE("SyncedFailover_PrimaryThatIsSlowToFollowLosesNoCommit") {
  for (int work = 50; work <= 900; work += 50) {
    CAPTURE(work);
    Play play(2);
    play.Untold = {"r1"};
    play.Service.at("p").WorkTime = milliseconds(work);
    play.drainPrimary();
    play.run(milliseconds(1200));
    play.Service.restart("r1");
    play.run(milliseconds(3000));
    play.Service.at("p").WorkTime = milliseconds(50);
    play.run(milliseconds(6000));
    CHECK(play.Service.lost() == 0);
    CHECK(play.Service.promotions() >= 1);
  }
}

TEST_CASE("SyncedFailover_DemotionWithoutAnAnswerIsNotReliedOn") {
  // The primary serves on; afterwards it doesn't answer control at all.
  for (int at = 0; at <= 1500; at += 10) {
    CAPTURE(at);
    Play play(2);
    play.Untold = {"r1"};
    play.Service.at("r2").WorkTime = milliseconds(300);
    play.Service.at("p").DemoteTime = milliseconds(20000);
    play.drainPrimary();
    play.run(milliseconds(450));
    play.Service.at("p").WorkTime = milliseconds(600);
    play.run(milliseconds(at));
    play.Service.restart("r1");
    play.run(milliseconds(4000));
    CHECK(play.Service.lost() == 0);
  }
}

TEST_CASE("SyncedFailover_LeavingPrimaryThatControlCannotReachServesOn") {
  // Entry VMs reach it, so it acknowledges what a restarted replica receives.
  for (int at = 0; at <= 1000; at += 10) {
    CAPTURE(at);
    Play play(2);
    play.Untold = {"r1"};
    play.Service.at("p").IsCutFromControl = true;
    play.run(milliseconds(600));
    play.drainPrimary();
    play.run(milliseconds(at));
    play.Service.restart("r1");
    play.run(milliseconds(3000));
    CHECK(play.Service.lost() == 0);
    CHECK(play.Service.promotions() == 0);
    play.endPrimary();
    play.run(milliseconds(6000));
    CHECK(play.Service.lost() == 0);
    CHECK(play.Service.promotions() >= 1);
  }
}

TEST_CASE("SyncedFailover_PrimaryServesOnWhileThePlatformIsSilent") {
  // An order got no answer before: demoted, the primary would lead no more.
  Play play(2);
  play.Service.AnswersOrders = false;
  play.Service.CarriesOutOrders = false;
  play.endPrimary();
  play.run(milliseconds(3000));
  REQUIRE(play.Service.ordered());
  play.returnPrimary();
  play.run(milliseconds(5600));
  play.drainPrimary();
  const auto before = play.Service.acknowledged();
  play.run(milliseconds(2500));
  CHECK(play.Service.acknowledged() > before + 100);
  play.Service.AnswersOrders = true;
  play.Service.CarriesOutOrders = true;
  play.run(milliseconds(8000));
  CHECK(play.Service.promotions() >= 1);
  CHECK(play.Service.lost() == 0);
}

TEST_CASE("SyncedFailover_CutOffPrimaryAndAnUnseenRestartLoseNoCommit") {
  // Most VMs miss the primary, and one reaches it and gets acknowledgements.
  for (int at = 0; at <= 1000; at += 10) {
    CAPTURE(at);
    Play play(2);
    play.Untold = {"r1"};
    play.Service.at("r2").WorkTime = milliseconds(300);
    play.Service.at("p").IsCutFromControl = true;
    play.reportSilence();
    play.run(milliseconds(at));
    play.Service.restart("r1");
    play.run(milliseconds(4000));
    CHECK(play.Service.lost() == 0);
  }
}

TEST_CASE("SyncedFailover_LateRecordOfAnAttemptDoesNotEndTheNextOne") {
  // The end of the record of a promotion ended whatever attempt was running.
  FakeControls group;
  group.run(milliseconds(1500));
  auto &platform = group.Platform;
  platform.HoldsOrders = true;
  const auto heartbeats = [&](std::uint64_t sequence) {
    for (const char *id : {"p", "r1"}) {
      membership::InstanceRecord record;
      record.Id = InstanceId(id);
      record.Service = "db";
      record.Address = std::string("10.1.0.1:") + id;
      record.Sequence = sequence;
      record.Role = id[0] == 'p' ? membership::InstanceRole::Primary
                                 : membership::InstanceRole::Replica;
      record.State =
          id[0] == 'p' ? InstanceState::Leaving : InstanceState::Ready;
      group.node(group.leader())
          .receiveHeartbeat(group.now(), record, [](bool) {});
    }
  };
  platform.Statuses[InstanceId("r1")] = {};
  heartbeats(1);
  group.run(milliseconds(2900));
  REQUIRE(platform.HeldOrders.size() == 1);
  group.stallDisks(milliseconds(600));
  platform.HeldOrders.front()(PromotionResult::NoAnswer);
  platform.HoldsStatuses = true;
  group.run(milliseconds(680));
  CHECK(platform.HeldStatuses.size() == 1);
}
