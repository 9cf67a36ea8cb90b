// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "daemon/internal/RequestService.h"

#include "base/ResultTable.h"
#include "daemon/internal/SystemClock.h"
#include "mesh/ForwardCodec.h"
#include "request/RequestModule.h"

#include "absl/strings/str_cat.h"

#include <utility>
#include <vector>

namespace stepledge::daemon {

namespace {

using observe::Part;

/// An owner answers at the deadline itself; its answer needs time to arrive.
constexpr Duration ForwardGrace = milliseconds(200);
/// A peer that just started is connected to within this time.
constexpr Duration HandOverPatience = milliseconds(500);
constexpr Duration HandOverSpacing = milliseconds(10);
constexpr Duration ExplainLimit = milliseconds(1000);

VmId ownerOf(const request::CallerRequest &request) {
  return request::ownerOf(request::transactionOf(request.Operation));
}

TraceBook::WallTime wallNow() { return std::chrono::system_clock::now(); }

/// The VM that made a decision: what is before the last '-'.
VmId makerOf(const DecisionId &decision) {
  const auto end = decision.str().rfind('-');
  return VmId(decision.str().substr(0, end));
}

} // namespace

RequestService::RequestService(asio::io_context &context,
                               const settings::Settings &settings,
                               Observers observers, std::uint64_t seed)
    : Context(context), Config(settings), Seen(observers),
      Upstreams(context, settings,
                [this](const request::Event &event) { tell(event); }),
      Traces(observers.Tracer, seed + 1), Timer(context), Seed(seed) {}

void RequestService::start() {
  Coordinator = request::makeRequestCoordinator(Config, Seed, monotonicNow());
  tell(request::TimePassed{});
}

void RequestService::stop() {
  asio::error_code ec;
  Timer.cancel(ec);
}

void RequestService::setMesh(mesh::IMesh *mesh) {
  Mesh = mesh;
  if (Mesh != nullptr)
    Mesh->setReceiver(
        [this](const VmId &from, const mesh::wire::Envelope &envelope) {
          received(from, envelope);
        });
}

void RequestService::tell(const request::Event &event) {
  if (!Coordinator)
    return;
  apply(Coordinator->onEvent(event, monotonicNow()));
  arm();
}

void RequestService::apply(const request::Effects &effects) {
  struct Visitor {
    RequestService &Self;
    void operator()(const request::OpenConnection &it) const {
      Self.Upstreams.open(it);
    }
    void operator()(const request::CloseConnection &it) const {
      Self.Upstreams.close(it.Connection);
    }
    void operator()(const request::RunBatch &it) const {
      Self.Traces.beginBatch(it.Batch.Id, it.Request, wallNow());
      Self.Upstreams.run(it);
    }
    void operator()(const request::SendAnswer &it) const {
      Self.answer(it.Answer);
    }
    void operator()(const request::RecordDecision &it) const {
      Self.record(it.Record);
    }
    void operator()(const request::AskOtherHalls &it) const {
      Self.askOtherHalls(it);
    }
  };
  for (const auto &it : effects)
    std::visit(Visitor{*this}, it);
  Seen.Metrics.noteConnections(static_cast<int>(Upstreams.size()));
}

void RequestService::arm() {
  auto next = Coordinator->nextWake();
  if (const auto deadline = Forwards.nextDeadline())
    next = next ? std::min(*next, *deadline) : *deadline;
  if (!next)
    return;
  Timer.expires_at(asioTime(*next));
  Timer.async_wait([this](asio::error_code ec) {
    if (ec)
      return;
    expireForwards();
    tell(request::TimePassed{});
  });
}

RequestId
RequestService::keep(const request::CallerRequest &request, Done done,
                     const std::optional<observe::TraceContext> &trace) {
  const RequestId id{++NextRequest};
  const auto kind = request::kindOf(request.Operation);
  Waiting[id] = {std::move(done), monotonicNow(), request.Database.str(), kind};
  Traces.beginRequest(id, trace, kind, wallNow());
  return id;
}

bool RequestService::belongsElsewhere(
    const request::CallerRequest &request) const {
  const auto owner = ownerOf(request);
  return !owner.empty() && owner != Config.Vm;
}

void RequestService::submit(api::CallerSubmission submission, Done done) {
  auto request = std::move(submission.Request);
  request.Deadline = monotonicNow() + submission.TimeAllowed;
  request.Id = keep(request, std::move(done), submission.Trace);
  if (Ending)
    return refuse(request.Id, ResultCode::Stopping);
  if (belongsElsewhere(request))
    return forward(request, ownerOf(request));
  tell(request::RequestArrived{std::move(request)});
}

void RequestService::answer(const request::CallerAnswer &answer) {
  const auto it = Waiting.find(answer.Id);
  if (it == Waiting.end())
    return;
  const auto pending = std::move(it->second);
  Waiting.erase(it);
  const auto trace = Traces.contextOf(answer.Id);
  Traces.endRequest(answer.Id,
                    {{"database", pending.Database},
                     {"result", std::string(resultRow(answer.Code).Name)},
                     {"instance", answer.AnsweredBy.str()},
                     {"decision", answer.Decision.str()}},
                    wallNow());
  Seen.Metrics.noteAnswer({pending.Database, pending.Kind, answer.Code,
                           answer.IsFromReplica,
                           monotonicNow() - pending.ArrivedAt});
  pending.Answer({answer, trace.value_or(observe::TraceContext{})});
}

void RequestService::refuse(RequestId id, ResultCode code) {
  request::CallerAnswer refusal;
  refusal.Id = id;
  refusal.Code = code;
  answer(refusal);
}

void RequestService::forward(const request::CallerRequest &request,
                             const VmId &owner) {
  auto call = mesh::toForwardCall(request, monotonicNow());
  if (const auto trace = Traces.contextOf(request.Id))
    call->set_trace_parent(observe::traceParent(*trace));
  mesh::wire::Envelope envelope;
  envelope.set_number(Forwards.nextNumber());
  *envelope.mutable_forward_call() = *std::move(call);
  const auto patience =
      std::min(request.Deadline, monotonicNow() + HandOverPatience);
  const auto id = request.Id;
  const auto number = envelope.number();
  const auto deadline = request.Deadline + ForwardGrace;
  handOver(owner, envelope, patience, [=, this](bool isHandedOver) {
    // NOTE: What was not handed over was provably not run; what was may have
    // been, whatever becomes of the answer.
    if (!isHandedOver) {
      Seen.Metrics.noteForwarded(ResultCode::OwnerUnreachable);
      return refuse(id, ResultCode::OwnerUnreachable);
    }
    Seen.Metrics.noteForwarded(ResultCode::Done);
    Forwards.sent(number, owner, id, deadline);
    arm();
  });
}

// NOTE: A peer that just started may not be connected to yet. As nothing was
// handed over, trying again is safe.
void RequestService::handOver(const VmId &to,
                              const mesh::wire::Envelope &envelope,
                              TimePoint giveUpAt,
                              const std::function<void(bool)> &done) {
  if (Mesh != nullptr && Mesh->send(to, envelope))
    return done(true);
  const auto now = monotonicNow();
  if (Mesh == nullptr || now >= giveUpAt)
    return done(false);
  auto timer = std::make_shared<asio::steady_timer>(
      Context, asioTime(now + HandOverSpacing));
  timer->async_wait([=, this](asio::error_code ec) {
    (void)timer;
    if (!ec)
      handOver(to, envelope, giveUpAt, done);
  });
}

void RequestService::sendReply(const VmId &to,
                               const mesh::wire::Envelope &envelope) {
  handOver(to, envelope, monotonicNow() + HandOverPatience, [](bool) {});
}

void RequestService::expireForwards() {
  for (const auto id : Forwards.takeExpired(monotonicNow()))
    refuse(id, ResultCode::OwnerSilent);
}

void RequestService::received(const VmId &from,
                              const mesh::wire::Envelope &envelope) {
  if (envelope.has_forward_call())
    return serveForwarded(from, envelope);
  if (envelope.has_silence_call())
    return answerSilence(from, envelope.silence_call());
  if (envelope.has_silence_answer()) {
    const auto &said = envelope.silence_answer();
    return tell(request::PeerReport{DatabaseId(said.database()), from,
                                    Term{said.term()}, said.is_silent()});
  }
  if (envelope.has_explain_call()) {
    mesh::wire::Envelope reply;
    reply.set_number(envelope.number());
    const auto *record =
        Seen.Journal.find(DecisionId(envelope.explain_call().decision()));
    auto *lines = reply.mutable_explain_answer();
    if (record != nullptr)
      for (const auto &it : request::describe(*record))
        lines->add_lines(it);
    return sendReply(from, reply);
  }
  if (envelope.has_explain_answer()) {
    const auto it = Explanations.find(envelope.number());
    if (it == Explanations.end())
      return;
    const auto done = std::move(it->second);
    Explanations.erase(it);
    const auto &lines = envelope.explain_answer().lines();
    return done({lines.begin(), lines.end()});
  }
  if (!envelope.has_forward_answer())
    return;
  const auto id = Forwards.answered(envelope.number(), from);
  if (!id)
    return;
  auto back = mesh::fromForwardAnswer(envelope.forward_answer());
  back.Id = *id;
  answer(back);
}

void RequestService::record(const request::DecisionRecord &record) {
  if (record.Kind == "replacement")
    for (const auto &it : request::describe(record))
      Seen.Log.warning(Part::Request,
                       absl::StrCat(record.Database.str(), ": ", it));
  Seen.Journal.add(record);
}

void RequestService::askOtherHalls(const request::AskOtherHalls &question) {
  mesh::wire::Envelope envelope;
  auto *call = envelope.mutable_silence_call();
  call->set_database(question.Database.str());
  call->set_term(question.Current.Number);
  for (const auto &it : Config.Peers)
    if (it.Hall != Config.Hall && Mesh != nullptr)
      Mesh->send(it.Vm, envelope);
}

void RequestService::answerSilence(const VmId &from,
                                   const mesh::wire::SilenceCall &call) {
  mesh::wire::Envelope reply;
  auto *said = reply.mutable_silence_answer();
  said->set_database(call.database());
  said->set_term(call.term());
  said->set_is_silent(Coordinator &&
                      Coordinator->isPrimarySilent(DatabaseId(call.database()),
                                                   monotonicNow()));
  if (Mesh != nullptr)
    Mesh->send(from, reply);
}

void RequestService::serveForwarded(const VmId &from,
                                    const mesh::wire::Envelope &envelope) {
  const auto &call = envelope.forward_call();
  auto request = mesh::fromForwardCall(call, monotonicNow());
  const auto number = envelope.number();
  const auto done = [this, from, number](const api::GatewayAnswer &it) {
    mesh::wire::Envelope reply;
    reply.set_number(number);
    *reply.mutable_forward_answer() = mesh::toForwardAnswer(it.Answer);
    sendReply(from, reply);
  };
  request.Id =
      keep(request, done, observe::parseTraceParent(call.trace_parent()));
  // NOTE: One hop only: a transaction that isn't open here is unknown.
  tell(request::RequestArrived{std::move(request)});
}

void RequestService::explain(const DecisionId &decision, Explained done) {
  const auto maker = makerOf(decision);
  if (maker == Config.Vm || Mesh == nullptr) {
    const auto *record = Seen.Journal.find(decision);
    return done(record == nullptr ? std::vector<std::string>{}
                                  : request::describe(*record));
  }
  mesh::wire::Envelope envelope;
  const auto number = Forwards.nextNumber();
  envelope.set_number(number);
  envelope.mutable_explain_call()->set_decision(decision.str());
  if (!Mesh->send(maker, envelope))
    return done({});
  Explanations[number] = std::move(done);
  auto timer = std::make_shared<asio::steady_timer>(Context, ExplainLimit);
  timer->async_wait([this, number, timer](asio::error_code) {
    const auto it = Explanations.find(number);
    if (it == Explanations.end())
      return;
    const auto late = std::move(it->second);
    Explanations.erase(it);
    late({});
  });
}

std::string RequestService::metricsText() const { return Seen.Metrics.text(); }

api::Readiness RequestService::readiness() const {
  if (Stopping)
    return api::Readiness::Stopping;
  const bool isServing = Coordinator && Coordinator->isServing(monotonicNow());
  return isServing ? api::Readiness::Serving : api::Readiness::Starting;
}

void RequestService::announceStop() {
  Stopping = true;
  Seen.Log.info(Part::Request, "stopping; the balancer is told");
}

void RequestService::refuseNew() { tell(request::StopRequested{}); }

void RequestService::endAll() {
  Ending = true;
  if (!Waiting.empty())
    Seen.Log.warning(
        Part::Request,
        absl::StrCat(Waiting.size(), " requests wait at the stop's limit"));
  tell(request::EndReached{});
  std::vector<RequestId> forwarded;
  for (const auto &[id, it] : Waiting)
    forwarded.push_back(id);
  // NOTE: one that is still being handed over may reach its owner.
  for (const auto id : forwarded)
    refuse(id, ResultCode::OwnerSilent);
}

bool RequestService::isDrained() const {
  return Waiting.empty() && (!Coordinator || Coordinator->openWorkCount() == 0);
}

} // namespace stepledge::daemon
