// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "request/internal/RequestCoordinator.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <iterator>

namespace stepledge::request {

RequestCoordinator::RequestCoordinator(const settings::Settings &settings,
                                       std::uint64_t seed, TimePoint now)
    : Config(settings), Random(seed), LastNow(now) {
  for (const auto &it : Config.Databases)
    Databases[it.Id] =
        std::make_unique<DatabaseCoordinator>(it, Config, Counters, Random);
}

DatabaseCoordinator *
RequestCoordinator::findByConnection(ConnectionId connection) {
  const auto it = Connections.find(connection);
  return it == Connections.end() ? nullptr : it->second;
}

void RequestCoordinator::refuseUnknown(const CallerRequest &request,
                                       Effects &out) {
  CallerAnswer answer;
  answer.Id = request.Id;
  // NOTE: A transaction id with an unknown database is an unknown transaction.
  const bool isName = std::holds_alternative<ReadCall>(request.Operation) ||
                      std::holds_alternative<WriteCall>(request.Operation) ||
                      std::holds_alternative<BeginCall>(request.Operation);
  answer.Code =
      isName ? ResultCode::DatabaseUnknown : ResultCode::TransactionUnknown;
  answer.Marks = request.Marks;
  answer.Decision =
      DecisionId(absl::StrCat(Config.Vm.str(), "-", ++Counters.Decisions));
  DecisionRecord record;
  record.Id = answer.Decision;
  record.Database = request.Database;
  record.Outcome = answer.Code;
  out.push_back(SendAnswer{std::move(answer)});
  out.push_back(RecordDecision{std::move(record)});
}

void RequestCoordinator::collectEffects(DatabaseCoordinator &database,
                                        TimePoint now, Effects &out) {
  database.advance(now);
  auto effects = database.takeEffects();
  for (const auto &it : effects) {
    if (const auto *open = std::get_if<OpenConnection>(&it))
      Connections[open->Connection] = &database;
    else if (const auto *close = std::get_if<CloseConnection>(&it))
      Connections.erase(close->Connection);
  }
  std::move(effects.begin(), effects.end(), std::back_inserter(out));
}

Effects RequestCoordinator::onEvent(const Event &event, TimePoint now) {
  struct Visitor {
    RequestCoordinator &Self;
    TimePoint Now;
    Effects &Out;

    void operator()(const RequestArrived &it) const {
      const auto found = Self.Databases.find(it.Request.Database);
      if (found == Self.Databases.end())
        return Self.refuseUnknown(it.Request, Out);
      found->second->arrived(it.Request, Now);
      Self.collectEffects(*found->second, Now, Out);
    }
    void operator()(const ConnectionOpened &it) const {
      auto *database = Self.findByConnection(it.Connection);
      if (database == nullptr)
        return;
      database->opened(it.Connection, Now);
      Self.collectEffects(*database, Now, Out);
    }
    void operator()(const ConnectionLost &it) const {
      auto *database = Self.findByConnection(it.Connection);
      if (database == nullptr)
        return;
      Self.Connections.erase(it.Connection);
      database->lost(it.Connection, Now);
      Self.collectEffects(*database, Now, Out);
    }
    void operator()(const BatchFinished &it) const {
      auto *database = Self.findByConnection(it.Connection);
      if (database == nullptr)
        return;
      database->finished(it.Connection, it.Result, Now);
      Self.collectEffects(*database, Now, Out);
    }
    void operator()(const TimePassed &) const {
      for (auto &[id, database] : Self.Databases)
        Self.collectEffects(*database, Now, Out);
    }
    void operator()(const StopRequested &) const {
      for (auto &[id, database] : Self.Databases) {
        database->stop();
        Self.collectEffects(*database, Now, Out);
      }
    }
    void operator()(const EndReached &) const {
      for (auto &[id, database] : Self.Databases) {
        database->end(Now);
        Self.collectEffects(*database, Now, Out);
      }
    }
    void operator()(const InstanceLeaving &it) const {
      const auto found = Self.Databases.find(it.Database);
      if (found == Self.Databases.end())
        return;
      found->second->setLeaving(it.Instance, it.IsLeaving, Now);
      Self.collectEffects(*found->second, Now, Out);
    }
    void operator()(const PeerReport &it) const {
      const auto found = Self.Databases.find(it.Database);
      if (found == Self.Databases.end())
        return;
      found->second->receivePeerReport(it);
      Self.collectEffects(*found->second, Now, Out);
    }
  };
  LastNow = now;
  Effects out;
  std::visit(Visitor{*this, now, out}, event);
  return out;
}

std::optional<TimePoint> RequestCoordinator::nextWake() const {
  std::optional<TimePoint> next;
  for (const auto &[id, database] : Databases)
    if (const auto wake = database->nextWake(LastNow); wake)
      next = next ? std::min(*next, *wake) : *wake;
  return next;
}

std::size_t RequestCoordinator::openWorkCount() const {
  std::size_t n = 0;
  for (const auto &[id, database] : Databases)
    n += database->openWorkCount();
  return n;
}

bool RequestCoordinator::isPrimarySilent(const DatabaseId &database,
                                         TimePoint now) const {
  const auto it = Databases.find(database);
  return it != Databases.end() && it->second->isPrimarySilent(now);
}

bool RequestCoordinator::isServing(TimePoint now) const {
  return std::all_of(Databases.begin(), Databases.end(), [now](const auto &it) {
    return it.second->isServing(now);
  });
}

} // namespace stepledge::request
