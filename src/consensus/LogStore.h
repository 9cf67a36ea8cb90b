// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The log on disk: checksummed records in one file, which each snapshot
/// replaces by a new one.

#ifndef STEPLEDGE_CONSENSUS_LOGSTORE_H
#define STEPLEDGE_CONSENSUS_LOGSTORE_H

#include "consensus/ConsensusNode.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <filesystem>
#include <optional>
#include <vector>

namespace stepledge::consensus {

/// Content of the newest complete file.
struct LoadedLog {
  MemberNumber Identity = 0;
  DurableState State;
};

class LogStore {
public:
  explicit LogStore(std::filesystem::path folder) : Folder(std::move(folder)) {}
  ~LogStore();
  LogStore(const LogStore &) = delete;
  LogStore &operator=(const LogStore &) = delete;

  /// Reads the newest file whose initial records were all written, and
  /// truncates a torn record at its end. Returns nothing if there is none.
  absl::StatusOr<std::optional<LoadedLog>> load();
  /// Returns once \p records are synced. After a failure the log is unchanged,
  /// and the call may be repeated.
  absl::Status append(const std::vector<wire::Record> &records);
  /// Writes \p records to a new file and removes the older ones.
  absl::Status rewrite(const std::vector<wire::Record> &records);

private:
  std::filesystem::path fileOf(std::uint64_t number) const;
  absl::Status syncFolder() const;
  void removeOthers(std::uint64_t number) const;

  std::filesystem::path Folder;
  std::uint64_t Number = 0;
  int Descriptor = -1;
  std::uint64_t Size = 0;
};

} // namespace stepledge::consensus

#endif // STEPLEDGE_CONSENSUS_LOGSTORE_H
