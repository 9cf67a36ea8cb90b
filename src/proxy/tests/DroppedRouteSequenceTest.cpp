// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Whatever a client did before, what it asks after its route was dropped
/// isn't run, but in a transaction whose first statement came before.

#include "proxy/tests/ProxyFixture.h"

#include "base/NameTable.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <string>
#include <vector>

using namespace stepledge;
using namespace stepledge::proxy;
using Fixture = stepledge::proxy::tests::ProxyFixture;
using stepledge::proxy::tests::markOf;

namespace {

enum class SessionEvent {
  Begin,
  Read,
  Execute,
  Commit,
  Rollback,
  /// The instances answer all that they were sent.
  Answer,
  Drop,
  Restore,
};

constexpr auto EventNames = std::to_array<NameEntry<SessionEvent>>({
    {SessionEvent::Begin, "begin"},
    {SessionEvent::Read, "read"},
    {SessionEvent::Execute, "execute"},
    {SessionEvent::Commit, "commit"},
    {SessionEvent::Rollback, "rollback"},
    {SessionEvent::Answer, "answer"},
    {SessionEvent::Drop, "drop"},
    {SessionEvent::Restore, "restore"},
});

using Events = std::vector<SessionEvent>;

/// A session on the route "current", and what it may not run.
struct DroppingSession : Fixture {
  DroppingSession() {
    warmUp();
    Client = connect("current");
    ask(Client, StatementKind::Prepare, "PREPARE s READ q", "s", "q");
    // NOTE: the session then holds the route of an earlier statement.
    ask(Client, StatementKind::Read, "READ w");
    answerAll();
    REQUIRE(lastAnswer(Client).Code == ReplyCode::Success);
  }

  void apply(SessionEvent event) {
    switch (event) {
    case SessionEvent::Begin:
      IsOpen = true;
      return ask(Client, StatementKind::Begin, "BEGIN");
    case SessionEvent::Read:
      return askStatement(StatementKind::Read, "READ x", "");
    case SessionEvent::Execute:
      return askStatement(StatementKind::Execute, "EXECUTE s x", "s");
    case SessionEvent::Commit:
      IsOpen = HasRoute = false;
      return ask(Client, StatementKind::Commit, "COMMIT");
    case SessionEvent::Rollback:
      IsOpen = HasRoute = false;
      return ask(Client, StatementKind::Rollback, "ROLLBACK");
    case SessionEvent::Answer:
      return answerAll();
    case SessionEvent::Drop:
      return configure(false);
    case SessionEvent::Restore:
      return configure(true);
    }
  }

  /// A statement that may not run was sent to an instance.
  bool hasRunForbidden() const { return HasRunForbidden; }

private:
  void noteSent() {
    for (const auto &[id, commands] : Io.Sent)
      for (const auto &it : commands)
        HasRunForbidden |= Forbidden.contains(it.Id);
  }

  void askStatement(StatementKind kind, const char *text, const char *name) {
    HasRoute |= IsOpen && !IsDropped;
    if (IsDropped && !HasRoute)
      Forbidden.insert("id" + std::to_string(LastId + 1));
    ask(Client, kind, text, name);
    noteSent();
  }

  void answerAll() {
    constexpr int Rounds = 10;
    for (int i = 0; i < Rounds; ++i) {
      for (const auto &[id, target] : std::map(Io.Opened))
        while (!Io.Sent[id].empty()) {
          answer(id, replyAt(markOf(3, 100), States[id]));
          noteSent();
        }
      advance(milliseconds(20));
      noteSent();
    }
  }

  void configure(bool isRouted) {
    control::Configuration next;
    next.Version = Core.configurationVersion() + 1;
    next.Services["db"] = {"db", 40, 0};
    next.TransactionIdleLimit = milliseconds(3000);
    if (isRouted)
      addRoute(next, "current", control::ReadPolicy::Current);
    IsDropped = !isRouted;
    // NOTE: what was asked before may run by the new route.
    if (isRouted)
      Forbidden.clear();
    Core.applyConfiguration(Now, next);
  }

  ClientId Client{};
  /// The client's view of its transaction.
  bool IsOpen = false;
  bool HasRoute = false;
  bool IsDropped = false;
  /// The ids of statements asked since the route was dropped.
  std::set<std::string> Forbidden;
  bool HasRunForbidden = false;
};

bool runsForbidden(const Events &events) {
  DroppingSession session;
  for (const auto it : events)
    session.apply(it);
  return session.hasRunForbidden();
}

std::string describe(const Events &events) {
  std::string text;
  for (const auto it : events)
    text.append(nameIn(EventNames, it)).append(" ");
  return text;
}

/// Longer sequences are explored by hand.
std::size_t exploredLength() {
  constexpr std::size_t Usual = 5;
  const char *asked = std::getenv("STEPLEDGE_EXPLORED_EVENTS");
  return asked ? std::strtoul(asked, nullptr, 10) : Usual;
}

} // namespace

TEST_CASE("DroppedRoute_NoSequenceRunsWhatIsAskedAfterTheDrop") {
  const std::size_t length = exploredLength();
  std::size_t sequences = 1;
  for (std::size_t i = 0; i < length; ++i)
    sequences *= EventNames.size();
  std::size_t harmful = 0;
  for (std::size_t n = 0; n < sequences; ++n) {
    Events events;
    for (std::size_t i = 0, rest = n; i < length;
         ++i, rest /= EventNames.size())
      events.push_back(EventNames[rest % EventNames.size()].Value);
    if (!runsForbidden(events))
      continue;
    if (harmful++ == 0)
      MESSAGE("runs a dropped route: ", describe(events));
  }
  MESSAGE("sequences: ", sequences, ", harmful: ", harmful);
  CHECK(harmful == 0);
}
