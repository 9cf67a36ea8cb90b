// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "consensus/DiskWriter.h"

#include <chrono>
#include <iterator>
#include <utility>

namespace stepledge::consensus {

namespace {

/// Delay before a failed write is tried again.
constexpr std::chrono::milliseconds WriteRetryDelay(100);

} // namespace

DiskWriter::DiskWriter(LogStore &store,
                       std::function<void(std::uint64_t)> onDone,
                       std::function<void(const absl::Status &)> onFailure)
    : Store(store), OnDone(std::move(onDone)), OnFailure(std::move(onFailure)),
      Thread([this] { run(); }) {}

DiskWriter::~DiskWriter() {
  {
    const std::lock_guard guard(Lock);
    IsStopping = true;
  }
  Changed.notify_all();
  Thread.join();
}

void DiskWriter::append(std::uint64_t ticket,
                        std::vector<wire::Record> records) {
  {
    const std::lock_guard guard(Lock);
    // NOTE: all queued records are written together (group commit).
    std::move(records.begin(), records.end(), std::back_inserter(Next.Records));
    Next.Ticket = ticket;
    HasNext = true;
  }
  Changed.notify_all();
}

void DiskWriter::rewrite(std::uint64_t ticket,
                         std::vector<wire::Record> records) {
  {
    const std::lock_guard guard(Lock);
    Next.Records = std::move(records);
    Next.IsRewrite = true;
    Next.Ticket = ticket;
    HasNext = true;
  }
  Changed.notify_all();
}

void DiskWriter::run() {
  while (true) {
    Job job;
    {
      std::unique_lock guard(Lock);
      Changed.wait(guard, [this] { return HasNext || IsStopping; });
      if (IsStopping)
        return;
      job = std::exchange(Next, Job());
      HasNext = false;
    }
    writeUntilDone(job);
  }
}

void DiskWriter::writeUntilDone(Job &job) {
  while (true) {
    const auto status =
        job.IsRewrite ? Store.rewrite(job.Records) : Store.append(job.Records);
    if (status.ok())
      return OnDone(job.Ticket);
    OnFailure(status);
    std::unique_lock guard(Lock);
    Changed.wait_for(guard, WriteRetryDelay, [this] { return IsStopping; });
    if (IsStopping)
      return;
    // NOTE: a rewrite that was queued since contains all records of this job.
    if (HasNext && Next.IsRewrite) {
      job = std::exchange(Next, Job());
      HasNext = false;
    }
  }
}

} // namespace stepledge::consensus
