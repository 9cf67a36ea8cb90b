// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "gateway/InstanceProbe.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace stepledge::gateway {

namespace {

/// An instance that answers later counts as silent: well above the time that
/// its full queue takes, and below the silence after which a primary is lost.
constexpr Duration AnswerLimit = milliseconds(500);

/// A pause, a demotion and a status have the same answer: on a connection that
/// was asked before, a second answer to a status would pass for that to a
/// pause, of a replica that receives on. A request to resume that is wrongly
/// taken for answered ends a later pause.
bool hasOwnConnection(QuestionKind kind) {
  return kind == QuestionKind::Pause || kind == QuestionKind::Resume ||
         kind == QuestionKind::Demote;
}

} // namespace

void InstanceProbe::askStatus(
    const membership::InstanceRecord &instance,
    std::function<void(std::optional<control::InstanceStatus>)> onDone) {
  ask(instance, QuestionKind::Status, Codec.formatStatusQuestion(), 1,
      [this, onDone = std::move(onDone)](const auto &reply) {
        onDone(reply ? Codec.parseStatus(*reply) : std::nullopt);
      });
}

void InstanceProbe::pause(
    const membership::InstanceRecord &instance, Term term,
    std::function<void(std::optional<control::PausedStatus>)> onDone) {
  ask(instance, QuestionKind::Pause, Codec.formatPause(term), 1,
      [this, onDone = std::move(onDone)](const auto &reply) {
        const auto status = reply ? Codec.parseStatus(*reply) : std::nullopt;
        onDone(status ? std::optional(control::PausedStatus{*status})
                      : std::nullopt);
      });
}

void InstanceProbe::demote(
    const membership::InstanceRecord &instance, Term term,
    std::function<void(std::optional<control::InstanceStatus>)> onDone) {
  ask(instance, QuestionKind::Demote, Codec.formatDemote(term), 1,
      [this, onDone = std::move(onDone)](const auto &reply) {
        onDone(reply ? Codec.parseStatus(*reply) : std::nullopt);
      });
}

void InstanceProbe::resume(const membership::InstanceRecord &instance,
                           std::function<void(bool)> onDone) {
  ask(instance, QuestionKind::Resume, Codec.formatResume(), 1,
      [onDone = std::move(onDone)](const auto &reply) {
        onDone(reply.has_value());
      });
}

void InstanceProbe::ping(const membership::InstanceRecord &instance,
                         std::function<void(bool)> onDone) {
  proxy::InstanceCommand begin;
  begin.Kind = proxy::CommandKind::Begin;
  proxy::InstanceCommand end;
  end.Kind = proxy::CommandKind::Rollback;
  ask(instance, QuestionKind::Ping,
      Codec.formatCommand(begin) + Codec.formatCommand(end), 2,
      [onDone = std::move(onDone)](const auto &reply) {
        onDone(reply.has_value());
      });
}

void InstanceProbe::ask(const membership::InstanceRecord &instance,
                        QuestionKind kind, const std::string &lines,
                        int replies, OnReply onDone) {
  const auto number = connectionFor(instance, kind);
  auto &it = Connections.at(number);
  it.Questions.ask(kind, Clock() + AnswerLimit, replies, std::move(onDone));
  const auto answers = static_cast<std::size_t>(replies);
  if (it.IsReady) {
    it.Link->send(lines, answers);
  } else {
    it.Unsent += lines;
    it.UnsentAnswers += answers;
  }
  watch(number);
}

std::uint64_t
InstanceProbe::connectionFor(const membership::InstanceRecord &instance,
                             QuestionKind kind) {
  const bool isForOne = hasOwnConnection(kind);
  const auto isStanding = [&](const auto &it) {
    return it.second.Instance == instance.Id && !it.second.IsForOneQuestion;
  };
  const auto standing =
      std::find_if(Connections.begin(), Connections.end(), isStanding);
  if (!isForOne && standing != Connections.end())
    return standing->first;
  const std::uint64_t number = ++LastNumber;
  auto &connection = Connections.try_emplace(number, Codec).first->second;
  connection.Instance = instance.Id;
  connection.IsForOneQuestion = isForOne;
  connect(instance, number);
  return number;
}

void InstanceProbe::connect(const membership::InstanceRecord &instance,
                            std::uint64_t number) {
  InstanceLink::Handlers handlers;
  handlers.Connected = [this, number](const proxy::StatementReply &reply) {
    connected(number, reply);
  };
  handlers.Answered = [this, number](const proxy::StatementReply &reply) {
    answered(number, reply);
  };
  handlers.Lost = [this, number] { lost(number); };
  const auto link =
      std::make_shared<InstanceLink>(Context, Codec, std::move(handlers));
  Connections.at(number).Link = link;
  link->open(instance.Address, instance.Service, OrganisationId(),
             instance.Id.str());
}

void InstanceProbe::connected(std::uint64_t number,
                              const proxy::StatementReply &reply) {
  const auto it = Connections.find(number);
  if (it == Connections.end())
    return;
  if (reply.Code != proxy::ReplyCode::Success)
    return lost(number);
  it->second.IsReady = true;
  it->second.Link->send(std::exchange(it->second.Unsent, {}),
                        std::exchange(it->second.UnsentAnswers, 0));
}

void InstanceProbe::answered(std::uint64_t number,
                             const proxy::StatementReply &reply) {
  const auto found = Connections.find(number);
  if (found == Connections.end())
    return;
  auto &it = found->second;
  const auto kind = it.Questions.awaited();
  const auto fault =
      kind ? it.Answers.check(*kind, reply) : ProbeFault::Malformed;
  if (fault) {
    Log.log(
        absl::StrCat("event=probe_answer_mismatch instance=", it.Instance.str(),
                     " reason=", std::string(nameOf(*fault))));
    return lost(number);
  }
  // NOTE: the callback may ask again, or give the connection up.
  const bool isLast = it.IsForOneQuestion;
  it.Questions.answered(reply);
  if (isLast)
    lost(number);
}

void InstanceProbe::watch(std::uint64_t number) {
  auto timer = std::make_shared<asio::steady_timer>(Context, AnswerLimit);
  timer->async_wait([this, number, timer](std::error_code) {
    const auto it = Connections.find(number);
    if (it != Connections.end() && it->second.Questions.isOverdue(Clock()))
      lost(number);
  });
}

void InstanceProbe::lost(std::uint64_t number) {
  const auto it = Connections.find(number);
  if (it == Connections.end())
    return;
  auto questions = std::move(it->second.Questions);
  const auto link = it->second.Link;
  Connections.erase(it);
  // NOTE: a request that is held up on its way must not arrive later.
  if (link && questions.isEmpty())
    link->close();
  else if (link)
    link->abort();
  questions.fail();
}

void InstanceProbe::cancelRequests(const InstanceId &instance) {
  std::vector<std::uint64_t> cancelled;
  for (const auto &[number, it] : Connections)
    if (it.Instance == instance)
      cancelled.push_back(number);
  for (const auto number : cancelled)
    lost(number);
}

void InstanceProbe::retainConnections(const std::set<InstanceId> &instances) {
  std::vector<std::uint64_t> unwanted;
  for (const auto &[number, it] : Connections)
    if (!instances.contains(it.Instance) && it.Questions.isEmpty())
      unwanted.push_back(number);
  for (const auto number : unwanted)
    lost(number);
}

} // namespace stepledge::gateway
