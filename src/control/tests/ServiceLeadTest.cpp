// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Each belief of who leads a service, each observation in it, and that
/// no belief lasts against all that can be observed.

#include "control/internal/ServiceLead.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <set>
#include <string>
#include <vector>

using namespace stepledge;
using namespace stepledge::control;
using membership::InstanceRecord;
using membership::InstanceRole;
using membership::InstanceState;

namespace {

/// The facts of one service, which observations change.
struct Scene {
  Scene() {
    add("p", InstanceRole::Primary);
    add("r", InstanceRole::Replica);
  }
  Scene(const Scene &) = delete;

  InstanceRecord &add(const char *id, InstanceRole role) {
    InstanceRecord record;
    record.Id = InstanceId(id);
    record.Role = role;
    Records.push_back(record);
    return Records.back();
  }

  InstanceRecord &at(const char *id) {
    return *std::find_if(Records.begin(), Records.end(), [&](const auto &it) {
      return it.Id == InstanceId(id);
    });
  }

  void drop(const char *id) {
    std::erase_if(Records,
                  [&](const auto &it) { return it.Id == InstanceId(id); });
  }

  bool has(const char *id) const {
    return std::any_of(Records.begin(), Records.end(),
                       [&](const auto &it) { return it.Id == InstanceId(id); });
  }

  ServiceLead assess() const {
    LeadFacts facts;
    for (const auto &it : Records)
      facts.Instances.push_back(&it);
    for (const auto &it : Records)
      if (it.Id.str() == Promoted && it.State != InstanceState::Gone)
        facts.Promoted = &it;
    facts.IsOrderRecent = IsOrderRecent;
    facts.IsLost = IsLost;
    facts.HasLed = HasLed;
    facts.MissesPings = [this](const InstanceRecord &it) {
      return Missing.contains(it.Id.str());
    };
    return assessLead(facts);
  }

  LeadState state() const { return assess().State; }
  std::string primary() const {
    const auto lead = assess();
    return lead.Primary ? lead.Primary->Id.str() : "-";
  }

  std::deque<InstanceRecord> Records;
  std::string Promoted;
  std::set<std::string> Missing;
  bool IsOrderRecent = false;
  bool IsLost = false;
  bool HasLed = false;
};

struct Belief {
  LeadState State;
  void (*Reach)(Scene &);
};

/// How a service comes to each belief.
const std::vector<Belief> Beliefs{
    {LeadState::Unknown, [](Scene &it) { it.drop("p"); }},
    {LeadState::Leading, [](Scene &) {}},
    {LeadState::Unconfirmed,
     [](Scene &it) {
       it.Promoted = "r";
       it.drop("p");
     }},
    {LeadState::Contested,
     [](Scene &it) {
       it.add("q", InstanceRole::Primary);
       it.Missing = {"p"};
       it.Promoted = "p";
     }},
    {LeadState::Lost, [](Scene &it) { it.IsLost = true; }},
    {LeadState::Leaving,
     [](Scene &it) { it.at("p").State = InstanceState::Leaving; }},
    {LeadState::LostData, [](Scene &it) { it.at("p").HasRestarted = true; }},
    {LeadState::Left,
     [](Scene &it) { it.at("p").State = InstanceState::Gone; }},
    {LeadState::Vacant,
     [](Scene &it) {
       it.at("p").Role = InstanceRole::Replica;
       it.HasLed = true;
     }},
};

/// Another instance says that it leads: the promoted replica, or a new id.
void hearOtherClaim(Scene &it) { it.add("n", InstanceRole::Primary); }

/// What the attempt that a belief asks for records when one answers as primary.
void recordPrimary(Scene &it, const char *id) {
  it.at(id).Role = InstanceRole::Primary;
  it.Promoted = id;
  it.IsOrderRecent = false;
  it.IsLost = false;
  it.Missing.erase(id);
}

} // namespace

TEST_CASE("ServiceLead_EachBeliefIsReached") {
  for (const auto &it : Beliefs) {
    CAPTURE(nameIn(LeadStateNames, it.State));
    Scene scene;
    it.Reach(scene);
    CHECK(scene.state() == it.State);
  }
}

TEST_CASE("ServiceLead_EachBeliefEndsWithARecordedPrimary") {
  // Guards against a belief that outlives the answer of another instance.
  for (const auto &it : Beliefs) {
    CAPTURE(nameIn(LeadStateNames, it.State));
    Scene scene;
    it.Reach(scene);
    hearOtherClaim(scene);
    recordPrimary(scene, "n");
    CHECK(scene.state() == LeadState::Leading);
    CHECK(scene.primary() == "n");
  }
}

TEST_CASE("ServiceLead_EachBeliefIsAskedForOnceItsPrimaryIsSilent") {
  // Whatever was believed, silence of the one that counts as the primary has
  // the instances asked; only where none ever led there is nothing to end.
  for (const auto &it : Beliefs) {
    CAPTURE(nameIn(LeadStateNames, it.State));
    Scene scene;
    it.Reach(scene);
    scene.IsLost = true;
    scene.Missing.insert(scene.primary());
    const bool hasLed = it.State != LeadState::Unknown;
    CHECK(mustAsk(scene.state()) == hasLed);
    CHECK(mayPromote(scene.state()) == hasLed);
  }
}

TEST_CASE("ServiceLead_AnotherClaimIsAskedForWhenThePrimaryMissesPings") {
  for (const auto &it : Beliefs) {
    CAPTURE(nameIn(LeadStateNames, it.State));
    Scene scene;
    it.Reach(scene);
    const std::string before = scene.primary();
    scene.Missing.insert(before);
    hearOtherClaim(scene);
    // The one that answers is believed, or the instances are asked.
    CHECK((scene.primary() != before || mustAsk(scene.state())));
  }
}

TEST_CASE("ServiceLead_DeparturesAndRestartsAreSeenInEachBelief") {
  for (const auto &it : Beliefs) {
    CAPTURE(nameIn(LeadStateNames, it.State));
    Scene leaving;
    it.Reach(leaving);
    if (leaving.primary() == "-")
      continue;
    leaving.at(leaving.primary().c_str()).State = InstanceState::Leaving;
    CHECK((leaving.state() == LeadState::Leaving ||
           leaving.state() == LeadState::Leading));
  }
}

TEST_CASE("ServiceLead_ServiceWithoutAPrimarySoFarWaits") {
  // A promotion would roll back what a primary that isn't heard yet has.
  Scene scene;
  scene.drop("p");
  scene.IsLost = true;
  scene.Missing = {"r"};
  CHECK(scene.state() == LeadState::Unknown);
  CHECK_FALSE(mustAsk(scene.state()));
}

TEST_CASE("ServiceLead_RecordedPrimaryThatAnswersIsNotContested") {
  Scene scene;
  hearOtherClaim(scene);
  recordPrimary(scene, "n");
  scene.Missing = {"p"};
  CHECK(scene.state() == LeadState::Leading);
  // An order that was never carried out doesn't end the old primary's lead.
  Scene unexecuted;
  unexecuted.Promoted = "r";
  CHECK(unexecuted.state() == LeadState::Leading);
  CHECK(unexecuted.primary() == "p");
  unexecuted.IsOrderRecent = true;
  CHECK(unexecuted.primary() == "r");
}

TEST_CASE("ServiceLead_PrimaryThatIsDroppedOrFollowsLeavesAVacancy") {
  // Each way to a service without a primary ends in one that is filled.
  for (const auto &it : Beliefs) {
    CAPTURE(nameIn(LeadStateNames, it.State));
    if (it.State == LeadState::Unknown)
      continue;
    for (const bool isDropped : {true, false}) {
      CAPTURE(isDropped);
      Scene scene;
      it.Reach(scene);
      scene.HasLed = true;
      scene.Promoted.clear();
      for (const char *id : {"p", "q"})
        if (scene.has(id) && isDropped)
          scene.drop(id);
      for (auto &record : scene.Records)
        record.Role = InstanceRole::Replica;
      CHECK(scene.state() == LeadState::Vacant);
      CHECK(mayPromote(scene.state()));
    }
  }
}
