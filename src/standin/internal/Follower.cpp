// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "standin/internal/Follower.h"

#include "upstream/UpstreamModule.h"

namespace stepledge::standin {

namespace {

constexpr std::chrono::milliseconds AnswerLimit{500};

std::string target(const StandinOptions &options) {
  return "host=" + options.FollowAddress +
         " port=" + std::to_string(options.FollowPort) +
         " user=replicator dbname=standin sslmode=disable gssencmode=disable";
}

} // namespace

Follower::Follower(asio::io_context &context, Engine &engine)
    : Context(context), Timer(context), Instance(engine) {}

void Follower::start() { poll(); }

void Follower::poll() {
  const auto now = std::chrono::steady_clock::now();
  Instance.applyDue(now);
  if (Asking && now - AskedAt > AnswerLimit) {
    Connection.reset();
    Open = Asking = false;
  }
  const bool cut = Instance.CurrentFaults.Cut;
  if (Instance.isReplica() && !Instance.Options.FollowAddress.empty() && !cut) {
    if (!Connection || ConnectedTo != target(Instance.Options))
      connect();
    else if (Open && !Asking)
      ask();
  } else if (cut) {
    Connection.reset();
    Open = Asking = false;
  }
  Timer.expires_after(std::max(Instance.Options.PollInterval,
                               Instance.CurrentFaults.ReceiveLag));
  Timer.async_wait([this](asio::error_code ec) {
    if (!ec)
      poll();
  });
}

void Follower::connect() {
  ConnectedTo = target(Instance.Options);
  Open = Asking = false;
  upstream::ConnectionEvents events;
  events.OnOpen = [this] { Open = true; };
  // NOTE: The callbacks come from inside the connection, so it is let go on
  // the next poll, through Asking's time limit.
  events.OnClosed = [this](const std::string &) {
    Open = false;
    Asking = true;
    AskedAt = {};
  };
  events.OnBatch = [this](const upstream::BatchResult &result) {
    take(result);
  };
  Connection = upstream::openConnection(Context, ConnectedTo, events);
}

void Follower::ask() {
  Asking = true;
  AskedAt = std::chrono::steady_clock::now();
  upstream::Batch batch;
  batch.Steps.push_back({"SELECT standin('entries',$1,$2,$3)",
                         {std::to_string(Instance.logPosition()),
                          std::to_string(Instance.logTerm()),
                          std::to_string(Instance.promised())},
                         true});
  Connection->run(batch);
}

void Follower::take(const upstream::BatchResult &result) {
  Asking = false;
  if (result.Steps.empty() || result.Steps[0].Rows.empty())
    return;
  const auto answer =
      nlohmann::json::parse(result.Steps[0].Rows[0][0].value_or("{}"));
  if (answer.contains("term"))
    Instance.receive(answer.at("term").get<std::uint64_t>(), answer);
}

} // namespace stepledge::standin
