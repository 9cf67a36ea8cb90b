// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file An entry VM works by the newest configuration soon after a control VM
/// that is fresh of it can be reached, whatever has happened before.

#include "entry/tests/ControlWorld.h"

#include "base/NameTable.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

using namespace stepledge;
using namespace stepledge::entry;
using entry::tests::AddressSource;
using entry::tests::ControlEvent;
using entry::tests::ControlWorld;

namespace {

constexpr auto EventNames = std::to_array<NameEntry<ControlEvent>>({
    {ControlEvent::Change, "change"},
    {ControlEvent::Replace, "replace"},
    {ControlEvent::OldMemberReturns, "old_member_returns"},
    {ControlEvent::CutOrHeal, "cut_or_heal"},
    {ControlEvent::Reset, "reset"},
    {ControlEvent::LoseRequests, "lose_requests"},
    {ControlEvent::IgnoreRequests, "ignore_requests"},
    {ControlEvent::PowerLoss, "power_loss"},
    {ControlEvent::PowerBack, "power_back"},
    {ControlEvent::NewSeeds, "new_seeds"},
    {ControlEvent::Wait, "wait"},
});

using Events = std::vector<ControlEvent>;

/// From a control VM that is fresh and can be reached, with no silent
/// connection left, to its version.
constexpr Duration UpToDateLimit = milliseconds(900);

std::string describe(const Events &events) {
  std::string text;
  for (const auto it : events)
    text.append(nameIn(EventNames, it)).append(" ");
  return text;
}

/// All control VMs that the settings name are replaced, one after the other.
const Events AllReplaced = {ControlEvent::Replace, ControlEvent::Wait,
                            ControlEvent::Replace, ControlEvent::Wait,
                            ControlEvent::Replace, ControlEvent::Wait};

/// Whether the entry VM comes to work by the newest version after \p before
/// and \p events.
bool comesUpToDate(AddressSource source, const Events &before,
                   const Events &events) {
  ControlWorld world(source);
  for (const auto it : before)
    world.apply(it);
  for (const auto it : events)
    world.apply(it);
  world.apply(ControlEvent::Change);
  world.recover();
  return world.comesUpToDate(world.silentFor() + UpToDateLimit);
}

/// Longer sequences are explored by hand.
std::size_t exploredLength() {
  constexpr std::size_t Usual = 3;
  const char *asked = std::getenv("STEPLEDGE_EXPLORED_EVENTS");
  return asked ? std::strtoul(asked, nullptr, 10) : Usual;
}

/// Calls \p visit with each sequence of \p length events.
template <typename Visit>
void forEachSequence(std::size_t length, Visit visit) {
  std::vector<std::size_t> digits(length);
  while (true) {
    Events events;
    for (const auto it : digits)
      events.push_back(EventNames[it].Value);
    visit(events);
    std::size_t i = 0;
    while (i < length && ++digits[i] == EventNames.size())
      digits[i++] = 0;
    if (i == length)
      return;
  }
}

void explore(AddressSource source, const Events &before) {
  std::vector<Events> behind;
  std::size_t sequences = 0;
  forEachSequence(exploredLength(), [&](const Events &events) {
    ++sequences;
    if (!comesUpToDate(source, before, events))
      behind.push_back(events);
  });
  constexpr std::size_t MaxNamed = 12;
  MESSAGE("sequences: ", sequences, ", behind: ", behind.size());
  for (std::size_t i = 0; i < std::min(behind.size(), MaxNamed); ++i)
    MESSAGE("behind after: ", describe(behind[i]));
  CHECK(behind.empty());
}

} // namespace

TEST_CASE("ReachableControl_EachSequenceOfEventsEndsUpToDate") {
  explore(AddressSource::OtherEntryVms, {});
}

TEST_CASE("ReachableControl_EachSequenceAfterAllWereReplacedEndsUpToDate") {
  explore(AddressSource::OtherEntryVms, AllReplaced);
}

TEST_CASE("ReachableControl_EachSequenceEndsUpToDateWhereTheSettingsTell") {
  explore(AddressSource::Settings, {});
}
