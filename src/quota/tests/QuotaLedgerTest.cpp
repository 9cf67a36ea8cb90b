// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Tests of one VM's answers, and of the refusals and the messages of
/// quotas without faults.

#include "quota/tests/SimulatedQuotas.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::quota;
using namespace stepledge::quota::tests;

namespace {

/// Records the messages that one VM sends to others.
class RecordedIo : public IQuotaIo {
public:
  bool askHome(const std::string &ip, const QuotaAsk &ask) override {
    Asks.emplace_back(ip, ask);
    return true;
  }
  void sendGrant(const std::string &ip, const QuotaGrant &grant) override {
    (void)ip;
    Grants.push_back(grant);
  }
  void tellPresence(const std::string &ip, bool isLeaving) override {
    (void)ip;
    (void)isLeaving;
  }
  void quotaChanged(const OrganisationId &organisation) override {
    (void)organisation;
  }

  std::vector<std::pair<std::string, QuotaAsk>> Asks;
  std::vector<QuotaGrant> Grants;
};

const OrganisationId TheOrganisation("o");
const TimePoint Start(std::chrono::seconds(10));

/// The first of \p vms in one hall, with a quota of 100 operations per second.
QuotaLedger ledgerOf(IQuotaIo &io, const std::vector<std::string> &vms) {
  QuotaOptions options;
  options.OwnIp = vms.front();
  options.OwnHall = HallId("h");
  QuotaLedger ledger(options, io);
  std::vector<membership::EntryVm> entries;
  entries.reserve(vms.size());
  for (const auto &it : vms)
    entries.push_back({it, HallId("h")});
  ledger.setEntries(entries);
  control::Organisation organisation;
  organisation.Id = TheOrganisation;
  organisation.RatePerSecond = 100;
  organisation.Burst = 100;
  ledger.setOrganisations({{TheOrganisation, organisation}});
  return ledger;
}

} // namespace

TEST_CASE("QuotaLedger_AskForNoneOrTooManyGetsAValidGrant") {
  RecordedIo io;
  auto home = ledgerOf(io, {"10.0.0.1"});
  home.tick(Start);
  home.tick(Start + milliseconds(2000));
  for (const int operations : {0, -7, 2000000000}) {
    home.receiveAsk(Start + milliseconds(2000), "10.0.0.2",
                    {1, TheOrganisation, operations, false});
    CHECK(io.Grants.back().Operations >= 1);
    CHECK(io.Grants.back().Operations <= 100);
  }
}

TEST_CASE("QuotaLedger_GrantOfNoneLendsNothing") {
  RecordedIo io;
  // By the order of the homes one of the other two VMs is asked.
  auto asker = ledgerOf(io, {"10.0.0.1", "10.0.0.2", "10.0.0.3"});
  const bool isOwnHome =
      asker.admit(Start, TheOrganisation, 0) == QuotaVerdict::Granted;
  REQUIRE_FALSE(isOwnHome);
  REQUIRE(io.Asks.size() == 1);
  // Copied, since asking again appends to the list.
  const auto [ip, ask] = io.Asks.front();
  asker.receiveGrant(Start, ip,
                     {ask.Number, TheOrganisation, GrantResult::Lent, -3, {}});
  CHECK(asker.admit(Start, TheOrganisation, 0) != QuotaVerdict::Granted);
  asker.receiveGrant(
      Start, ip,
      {ask.Number + 1, TheOrganisation, static_cast<GrantResult>(99), 5, {}});
  CHECK(asker.admit(Start, TheOrganisation, 0) != QuotaVerdict::Granted);
}

TEST_CASE("QuotaLedger_SinglePriorityHasNoReserve") {
  for (const int priority : {0, 3, -1, 99}) {
    CAPTURE(priority);
    RecordedIo io;
    auto home = ledgerOf(io, {"10.0.0.1"});
    home.tick(Start);
    // The part is full, and the demand is far above the rate.
    const TimePoint full = Start + milliseconds(2000);
    int granted = 0;
    while (home.admit(full, TheOrganisation, priority) == QuotaVerdict::Granted)
      ++granted;
    CHECK(granted == 100);
    for (int n = 0; n < 500; ++n)
      CHECK(home.admit(full, TheOrganisation, priority) ==
            QuotaVerdict::Exhausted);
    // All refilled operations are lent, but another hall must leave a reserve.
    const TimePoint later = full + milliseconds(500);
    home.receiveAsk(later, "10.0.1.1",
                    {1, TheOrganisation, 100, true, priority});
    CHECK(io.Grants.back().Operations == 20);
    home.receiveAsk(later, "10.0.0.2",
                    {2, TheOrganisation, 100, false, priority});
    CHECK(io.Grants.back().Operations == 30);
  }
}

TEST_CASE("QuotaLedger_LendsTheReserveToMoreUrgentRequestsOnly") {
  RecordedIo io;
  auto home = ledgerOf(io, {"10.0.0.1"});
  home.tick(Start);
  // Long after the part began.
  const TimePoint full = Start + milliseconds(4000);
  home.receiveAsk(full, "10.0.0.2", {1, TheOrganisation, 100, false, 0});
  CHECK(io.Grants.back().Operations == 100);
  for (int n = 0; n < 400; ++n)
    home.receiveAsk(full, "10.0.0.2", {2, TheOrganisation, 1, false, 2});
  // For a hundred recent urgent operations a reserve is kept.
  const TimePoint later = full + milliseconds(200);
  home.receiveAsk(later, "10.0.0.2", {3, TheOrganisation, 10, false, 2});
  CHECK(io.Grants.back().Result == GrantResult::Exhausted);
  CHECK(io.Grants.back().RetryAfter > milliseconds(20));
  // An ask of a VM without priorities counts as the most urgent.
  home.receiveAsk(later, "10.0.0.3", {4, TheOrganisation, 10, false});
  CHECK(io.Grants.back().Operations == 10);
  // Operations that the urgent requests no longer use go to the others.
  home.receiveAsk(later + milliseconds(9000), "10.0.0.2",
                  {5, TheOrganisation, 100, false, 2});
  CHECK(io.Grants.back().Operations >= 90);
}

TEST_CASE("QuotaLedger_WithoutALimitEverythingIsGranted") {
  SimulatedQuotas it(1, 3, 4, 0, 0);
  it.run(milliseconds(2000), 500);
  CHECK(it.granted() == it.asked());
  CHECK(it.messageCount() == 0);
}

TEST_CASE("QuotaLedger_BelowTheLimitAtMostOnePercentIsRefused") {
  // The use is 1 / 1.6 of the rate, as operators set it.
  for (const double rate : {2.0, 10.0, 60.0, 300.0}) {
    CAPTURE(rate);
    SimulatedQuotas it(2, 3, 8, rate, rate);
    it.run(milliseconds(3000), 0);
    it.run(milliseconds(20000), rate / 1.6);
    CHECK(it.refused() <= it.asked() / 100);
  }
}

TEST_CASE("QuotaLedger_OneVmWithAThirdOfTheDemandIsRarelyRefused") {
  for (const double rate : {10.0, 60.0, 300.0}) {
    CAPTURE(rate);
    SimulatedQuotas it(3, 3, 8, rate, rate);
    it.run(milliseconds(3000), 0);
    it.run(milliseconds(20000), rate / 1.6, 1.0 / 3);
    CHECK(it.refused() <= it.asked() / 50);
  }
}

TEST_CASE("QuotaLedger_HallWithAllTheDemandBorrowsFromTheOthers") {
  SimulatedQuotas it(4, 3, 4, 120, 120);
  it.run(milliseconds(3000), 0);
  it.run(milliseconds(20000), 75, 1.0);
  CHECK(it.refused() <= it.asked() / 20);
}

TEST_CASE("QuotaLedger_PartitionedHallGoesOnWithItsPart") {
  SimulatedQuotas it(5, 3, 8, 60, 60);
  it.run(milliseconds(5000), 37);
  const int refused = it.refused();
  const int asked = it.asked();
  it.partitionFirstHall(true);
  it.run(milliseconds(6000), 37);
  CHECK(it.refused() - refused <= (it.asked() - asked) / 25);
}

TEST_CASE("QuotaLedger_LowerLimitTakesEffectAtOnce") {
  SimulatedQuotas it(6, 3, 8, 300, 300);
  it.run(milliseconds(5000), 190);
  it.setLimit(20, 20);
  // Operations lent before are used up or void after a second.
  it.run(milliseconds(1000), 190);
  const int granted = it.granted();
  it.run(milliseconds(10000), 190);
  CHECK(it.granted() - granted <= 10 * 20 + 20 + 20);
  CHECK(it.granted() - granted >= 10 * 20 * 8 / 10);
}

TEST_CASE("QuotaLedger_DepartedHomeWithoutTheOrganisationIsPassedOver") {
  RecordedIo io;
  const std::vector<std::string> vms = {"10.0.0.1", "10.0.0.2", "10.0.0.3"};
  auto asker = ledgerOf(io, vms);
  for (const auto &it : vms)
    asker.homeConnected(it);
  asker.setEntries(
      {{vms[0], HallId("h")}, {vms[1], HallId("h")}, {vms[2], HallId("h")}});
  REQUIRE(asker.admit(Start, TheOrganisation, 0) == QuotaVerdict::Pending);
  const auto [home, ask] = io.Asks.back();
  std::vector<membership::EntryVm> others;
  for (const auto &it : vms)
    if (it != home)
      others.push_back({it, HallId("h")});
  asker.setEntries(others);
  QuotaGrant none;
  none.Number = ask.Number;
  none.Organisation = TheOrganisation;
  none.Result = GrantResult::NoQuota;
  asker.receiveGrant(Start, home, none);
  const TimePoint later = Start + milliseconds(10);
  const auto verdict = asker.admit(later, TheOrganisation, 0);
  CHECK((verdict == QuotaVerdict::Granted || io.Asks.back().first != home));
}
