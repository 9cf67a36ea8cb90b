// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The program of a control VM: it keeps the system's state.

#ifndef STEPLEDGE_NODE_CONTROLPROGRAM_H
#define STEPLEDGE_NODE_CONTROLPROGRAM_H

#include "control/ControlModule.h"
#include "gateway/InstanceProbe.h"
#include "http/IHttpServer.h"
#include "lines/HostPort.h"
#include "node/ProgramLoop.h"
#include "node/SeedReader.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace stepledge::node {

struct ControlProgramOptions {
  std::string NodeName;
  control::ControlModuleOptions Module;
  /// Where instances and operators call.
  lines::HostPort Calls;
  lines::HostPort Metrics;
};

/// What speaks to the outside of a control VM.
struct ControlAdapters {
  const gateway::ILineCodec &Codec;
  /// Orders promotions.
  std::function<std::unique_ptr<control::IPromoter>(asio::io_context &)>
      MakePromoter;
  /// Answers the calls of instances and operators.
  std::function<std::unique_ptr<http::ICallHandler>(control::ControlNode &,
                                                    control::IControlLog &)>
      MakeCallHandler;
  node::ReadSeeds ReadSeeds;
};

class ControlProgram : public control::IControlLog {
public:
  ControlProgram(const ControlProgramOptions &options,
                 ControlAdapters adapters);

  /// Serves until it is told to stop; the process's exit code.
  int run();

  void log(const std::string &line) override;

private:
  std::optional<Duration> tick();
  void stop();
  void reload();
  /// Polls the seeds while this VM is no voter or hears no leader: all control
  /// VMs that the settings named may be gone.
  void reviewSeeds(TimePoint now);
  /// True once calls had their time and this VM's place among the voters is
  /// taken, or won't be.
  bool canEnd(TimePoint now) const;
  void fillMetrics(observe::MetricsPage &page);

  ControlProgramOptions Options;
  ControlAdapters Adapters;
  ProgramLoop Loop;
  std::unique_ptr<control::IPromoter> Promoter;
  gateway::InstanceProbe Probe;
  control::ControlModule Control;
  std::unique_ptr<http::ICallHandler> Calls;
  SeedReader Seeds;
  /// When the program was told to stop.
  std::optional<TimePoint> StoppingSince;
  /// When the process ends; it takes no calls any more.
  std::optional<TimePoint> EndsAt;
};

} // namespace stepledge::node

#endif // STEPLEDGE_NODE_CONTROLPROGRAM_H
