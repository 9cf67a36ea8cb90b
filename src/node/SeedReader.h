// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Reads the addresses of control VMs from the settings again, on a
/// signal and at intervals.

#ifndef STEPLEDGE_NODE_SEEDREADER_H
#define STEPLEDGE_NODE_SEEDREADER_H

#include "absl/status/statusor.h"
#include "base/types/Time.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace stepledge::node {

/// The addresses of some control VMs, read anew from the settings.
using ReadSeeds = std::function<absl::StatusOr<std::set<std::string>>()>;

class SeedReader {
public:
  using Ips = std::set<std::string>;
  using WriteLog = std::function<void(const std::string &)>;

  /// Between two reads without a signal.
  static constexpr Duration Interval = milliseconds(1000);

  /// \p seeds are those that the process started with.
  SeedReader(ReadSeeds read, Ips seeds, WriteLog log);

  /// On a signal: the seeds, if the settings are valid.
  std::optional<Ips> reload();
  /// At intervals, while other seeds may help: the seeds, if they have changed.
  std::optional<Ips> poll(TimePoint now);

private:
  ReadSeeds Read;
  Ips Seeds;
  WriteLog Log;
  TimePoint ReadAt{};
};

} // namespace stepledge::node

#endif // STEPLEDGE_NODE_SEEDREADER_H
