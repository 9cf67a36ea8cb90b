// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The program of an entry VM: it serves clients.

#ifndef STEPLEDGE_NODE_ENTRYPROGRAM_H
#define STEPLEDGE_NODE_ENTRYPROGRAM_H

#include "entry/EntryModule.h"
#include "gateway/EntrySockets.h"
#include "http/IHttpServer.h"
#include "lines/HostPort.h"
#include "node/ProgramLoop.h"
#include "node/SeedReader.h"

#include <string>

namespace stepledge::node {

struct EntryProgramOptions {
  std::string NodeName;
  entry::EntryModuleOptions Module;
  /// Where clients connect.
  lines::HostPort Clients;
  /// Where the balancer asks whether this VM takes clients.
  lines::HostPort Ready;
  lines::HostPort Metrics;
};

class EntryProgram : public proxy::IProxyLog, public http::ICallHandler {
public:
  EntryProgram(const EntryProgramOptions &options,
               const gateway::ILineCodec &codec, ReadSeeds readSeeds);

  /// Serves until it is told to stop; the process's exit code.
  int run();

  void decision(const std::string &line) override;
  void answered(proxy::ReplyCode code, Duration took) override;
  void retried(proxy::ReplyCode code) override;
  void refusedForCapacity(bool isAtOnce) override;
  void lendRefused(proxy::LendingEnd reason) override;
  void sessionEnded(proxy::SessionEnd reason) override;
  void unanswered(const std::string &reason) override;
  void givenUp(bool wasSent) override;
  void refusedByQuota(int priority) override;
  void answerMismatch(proxy::AnswerFault fault) override;
  void errorRepeated(proxy::ReplyCode code) override;
  void heldBack() override;
  /// The balancer's question.
  void handle(http::HttpCall call, http::Reply reply) override;

private:
  std::optional<Duration> tick();
  void reload();
  /// Polls the seeds while there is no contact to a majority of the control
  /// VMs: the file may change without a signal.
  void reviewSeeds();
  void fillMetrics(observe::MetricsPage &page);

  EntryProgramOptions Options;
  SeedReader Seeds;
  ProgramLoop Loop;
  gateway::EntrySockets Sockets;
  entry::EntryModule Entry;
};

} // namespace stepledge::node

#endif // STEPLEDGE_NODE_ENTRYPROGRAM_H
