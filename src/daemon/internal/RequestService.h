// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The shell round the request coordinator: turns connections, timers,
/// callers and the mesh into its events, and its effects into actions.

#ifndef STEPLEDGE_DAEMON_INTERNAL_REQUESTSERVICE_H
#define STEPLEDGE_DAEMON_INTERNAL_REQUESTSERVICE_H

#include "api/IRequestGateway.h"
#include "daemon/ISupervised.h"
#include "daemon/internal/TraceBook.h"
#include "daemon/internal/UpstreamSet.h"
#include "mesh/ForwardTable.h"
#include "mesh/IMesh.h"
#include "observe/IDecisionJournal.h"
#include "observe/ILog.h"
#include "observe/IMetrics.h"
#include "request/IRequestCoordinator.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>

namespace stepledge::daemon {

/// What the service reports to; all outlive it.
struct Observers {
  observe::ILog &Log;
  observe::IMetrics &Metrics;
  observe::ITracer &Tracer;
  observe::IDecisionJournal &Journal;
};

class RequestService : public api::IRequestGateway, public ISupervised {
public:
  RequestService(asio::io_context &context, const settings::Settings &settings,
                 Observers observers, std::uint64_t seed);

  std::string name() const override { return "requests"; }
  void start() override;
  void stop() override;

  void submit(api::CallerSubmission submission, Done done) override;
  void explain(const DecisionId &decision, Explained done) override;
  std::string metricsText() const override;
  api::Readiness readiness() const override;

  /// Null where there are no peers. The mesh must outlive its use.
  void setMesh(mesh::IMesh *mesh);
  /// From now on the balancer is told to send nothing more.
  void announceStop();
  /// From now on new requests are refused.
  void refuseNew();
  bool isDrained() const;
  /// Answers the requests that still wait, by what is known of them, and
  /// refuses further ones: the process exits.
  void endAll();

private:
  struct Pending {
    Done Answer;
    TimePoint ArrivedAt;
    std::string Database;
    std::string Kind;
  };

  void tell(const request::Event &event);
  void apply(const request::Effects &effects);
  void answer(const request::CallerAnswer &answer);
  void record(const request::DecisionRecord &record);
  void askOtherHalls(const request::AskOtherHalls &question);
  void answerSilence(const VmId &from, const mesh::wire::SilenceCall &call);
  RequestId keep(const request::CallerRequest &request, Done done,
                 const std::optional<observe::TraceContext> &trace);
  bool belongsElsewhere(const request::CallerRequest &request) const;
  void forward(const request::CallerRequest &request, const VmId &owner);
  void handOver(const VmId &to, const mesh::wire::Envelope &envelope,
                TimePoint giveUpAt, const std::function<void(bool)> &done);
  void sendReply(const VmId &to, const mesh::wire::Envelope &envelope);
  void received(const VmId &from, const mesh::wire::Envelope &envelope);
  void serveForwarded(const VmId &from, const mesh::wire::Envelope &envelope);
  void refuse(RequestId id, ResultCode code);
  void expireForwards();
  void arm();

  asio::io_context &Context;
  const settings::Settings &Config;
  Observers Seen;
  UpstreamSet Upstreams;
  TraceBook Traces;
  asio::steady_timer Timer;
  std::unique_ptr<request::IRequestCoordinator> Coordinator;
  mesh::IMesh *Mesh = nullptr;
  mesh::ForwardTable Forwards;
  std::map<RequestId, Pending> Waiting;
  std::map<std::uint64_t, Explained> Explanations;
  std::uint64_t Seed;
  std::uint64_t NextRequest = 0;
  bool Stopping = false;
  bool Ending = false;
};

} // namespace stepledge::daemon

#endif // STEPLEDGE_DAEMON_INTERNAL_REQUESTSERVICE_H
