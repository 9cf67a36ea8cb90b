// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A thread that writes and syncs the log, so that a slow or stalled disk
/// never blocks the event loop.

#ifndef STEPLEDGE_CONSENSUS_DISKWRITER_H
#define STEPLEDGE_CONSENSUS_DISKWRITER_H

#include "consensus/LogStore.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace stepledge::consensus {

class DiskWriter {
public:
  /// \p onDone is called on the writer's thread with the last ticket that is on
  /// disk, \p onFailure with the status of each failed attempt.
  DiskWriter(LogStore &store, std::function<void(std::uint64_t)> onDone,
             std::function<void(const absl::Status &)> onFailure);
  ~DiskWriter();
  DiskWriter(const DiskWriter &) = delete;
  DiskWriter &operator=(const DiskWriter &) = delete;

  void append(std::uint64_t ticket, std::vector<wire::Record> records);
  /// Replaces the file; records still queued are discarded.
  void rewrite(std::uint64_t ticket, std::vector<wire::Record> records);

private:
  struct Job {
    std::uint64_t Ticket = 0;
    bool IsRewrite = false;
    std::vector<wire::Record> Records;
  };

  void run();
  void writeUntilDone(Job &job);

  LogStore &Store;
  std::function<void(std::uint64_t)> OnDone;
  std::function<void(const absl::Status &)> OnFailure;
  std::mutex Lock;
  std::condition_variable Changed;
  Job Next;
  bool HasNext = false;
  bool IsStopping = false;
  std::thread Thread;
};

} // namespace stepledge::consensus

#endif // STEPLEDGE_CONSENSUS_DISKWRITER_H
