// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "daemon/internal/UpstreamSet.h"

#include "upstream/UpstreamModule.h"

#include "absl/strings/str_cat.h"

#include <asio/post.hpp>

#include <utility>

namespace stepledge::daemon {

namespace {

/// As libpq's connection strings quote values.
std::string quoted(const std::string &text) {
  std::string out = "'";
  for (const char c : text) {
    if (c == '\'' || c == '\\')
      out.push_back('\\');
    out.push_back(c);
  }
  return out + "'";
}

} // namespace

UpstreamSet::UpstreamSet(asio::io_context &context,
                         const settings::Settings &settings, Report report)
    : Context(context), Config(settings), Tell(std::move(report)) {}

std::string UpstreamSet::targetOf(const request::OpenConnection &wanted) const {
  for (const auto &database : Config.Databases) {
    if (database.Id != wanted.Database)
      continue;
    for (const auto &it : database.Instances) {
      if (it.Id != wanted.Instance)
        continue;
      auto out = absl::StrCat(
          "hostaddr=", quoted(it.Address.Address), " port=", it.Address.Port,
          " dbname=", quoted(database.Name), " user=", quoted(database.User),
          " sslmode=", database.Tls,
          " gssencmode=disable application_name=stepledge");
      if (!database.Password.empty())
        absl::StrAppend(&out, " password=", quoted(database.Password));
      return out;
    }
  }
  return "hostaddr=''";
}

void UpstreamSet::open(const request::OpenConnection &wanted) {
  const auto id = wanted.Connection;
  upstream::ConnectionEvents events;
  events.OnOpen = [this, id] { Tell(request::ConnectionOpened{id}); };
  events.OnClosed = [this, id](const std::string &reason) {
    close(id);
    Tell(request::ConnectionLost{id, reason});
  };
  events.OnBatch = [this, id](const upstream::BatchResult &result) {
    Tell(request::BatchFinished{id, result});
  };
  Connections[id] =
      upstream::openConnection(Context, targetOf(wanted), std::move(events));
}

void UpstreamSet::close(ConnectionId id) {
  const auto it = Connections.find(id);
  if (it == Connections.end())
    return;
  // NOTE: This may be called from one of the connection's own callbacks, so
  // it is destroyed only after they have returned.
  asio::post(Context, [dead = std::shared_ptr<upstream::IUpstreamConnection>(
                           std::move(it->second))] {});
  Connections.erase(it);
}

void UpstreamSet::run(const request::RunBatch &wanted) {
  const auto it = Connections.find(wanted.Connection);
  if (it != Connections.end())
    it->second->run(wanted.Batch);
}

} // namespace stepledge::daemon
