// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Dispatches each event to the coordinator of its database.

#ifndef STEPLEDGE_REQUEST_INTERNAL_REQUESTCOORDINATOR_H
#define STEPLEDGE_REQUEST_INTERNAL_REQUESTCOORDINATOR_H

#include "request/IRequestCoordinator.h"
#include "request/internal/DatabaseCoordinator.h"
#include "settings/types/Settings.h"

#include <map>
#include <memory>

namespace stepledge::request {

class RequestCoordinator : public IRequestCoordinator {
public:
  RequestCoordinator(const settings::Settings &settings, std::uint64_t seed,
                     TimePoint now);

  Effects onEvent(const Event &event, TimePoint now) override;
  std::optional<TimePoint> nextWake() const override;
  std::size_t openWorkCount() const override;
  bool isPrimarySilent(const DatabaseId &database,
                       TimePoint now) const override;
  bool isServing(TimePoint now) const override;

private:
  DatabaseCoordinator *findByConnection(ConnectionId connection);
  void refuseUnknown(const CallerRequest &request, Effects &out);
  void collectEffects(DatabaseCoordinator &database, TimePoint now,
                      Effects &out);

  const settings::Settings Config;
  routing::Random Random;
  ProcessCounters Counters;
  std::map<DatabaseId, std::unique_ptr<DatabaseCoordinator>> Databases;
  std::map<ConnectionId, DatabaseCoordinator *> Connections;
  TimePoint LastNow;
};

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_INTERNAL_REQUESTCOORDINATOR_H
