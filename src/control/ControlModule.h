// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Assembles a control VM: its log on disk, the consensus, the
/// connections to other VMs and the control node.

#ifndef STEPLEDGE_CONTROL_CONTROLMODULE_H
#define STEPLEDGE_CONTROL_CONTROLMODULE_H

#include "consensus/DiskWriter.h"
#include "consensus/LogStore.h"
#include "control/ControlNode.h"
#include "control/internal/GroupHealthReport.h"
#include "peer/PeerHub.h"

#include "absl/status/status.h"

#include <asio.hpp>

#include <functional>
#include <memory>
#include <string>

namespace stepledge::control {

struct ControlModuleOptions {
  ControlOptions Node;
  std::string DataFolder;
  /// The address that this process listens on; other VMs may reach it by
  /// another one.
  std::string ListenIp;
  /// The port that the other VMs connect to.
  std::uint16_t PeerPort = 0;
  /// The whole system starts for the first time, on empty disks.
  bool IsFirstStart = false;
  /// How many disks may be lost at once.
  int TolerableLosses = 1;
};

class ControlModule : public ILogWriter, public peer::IPeerListener {
public:
  using ReadClock = std::function<TimePoint()>;

  ControlModule(asio::io_context &context, ControlModuleOptions options,
                IPromoter &promoter, IInstanceProbe &probe, IControlLog &log,
                ReadClock clock);

  /// Opens the log and begins to serve other VMs.
  absl::Status start();
  /// To be called about 50 times a second.
  void tick();
  ControlNode &node() { return *Node; }
  /// The traffic that this VM has sent to others.
  const peer::TrafficCount &traffic() const { return Hub->traffic(); }
  const consensus::ConsensusNode &consensus() const { return *Consensus; }

  void append(std::uint64_t ticket,
              std::vector<consensus::wire::Record> records) override;
  void rewrite(std::uint64_t ticket,
               std::vector<consensus::wire::Record> records) override;
  void peerConnected(const std::string &ip,
                     const peer::wire::Hello &hello) override;
  void peerLost(const std::string &ip, peer::LinkEnd end) override;
  void peerSaid(const std::string &ip,
                const peer::wire::Message &message) override;

private:
  absl::Status openLog();
  void startDisk();

  asio::io_context &Context;
  ControlModuleOptions Options;
  IPromoter &Promoter;
  IInstanceProbe &Probe;
  IControlLog &Log;
  ReadClock Clock;
  consensus::LogStore Store;
  std::unique_ptr<consensus::ConsensusNode> Consensus;
  std::unique_ptr<consensus::DiskWriter> Disk;
  std::unique_ptr<peer::PeerHub> Hub;
  std::unique_ptr<ControlNode> Node;
  GroupHealthReport HealthReport;
};

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_CONTROLMODULE_H
