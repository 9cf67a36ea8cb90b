// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What the command line asked for.

#ifndef STEPLEDGE_CTL_TYPES_CTLOPTIONS_H
#define STEPLEDGE_CTL_TYPES_CTLOPTIONS_H

#include <cstdint>
#include <string>
#include <vector>

namespace stepledge::ctl {

/// Exit codes; the first three follow the result's class.
enum class ExitCode : int {
  Ran = 0,
  NotRun = 1,
  Unknown = 2,
  Usage = 3,
  Unreachable = 4,
};

struct CtlOptions {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 8080;
  /// Print the answer's JSON as it came.
  bool Json = false;
  /// Keeps the session's token between calls; empty for none.
  std::string SessionFile;
  std::int64_t DeadlineMs = 0;

  std::string Database;
  std::string Statement;
  std::vector<std::string> Parameters;
  std::int64_t MaxAgeMs = -1;
  std::string Key;
  std::string Transaction;
  std::uint32_t Sequence = 0;
  std::string Decision;
};

} // namespace stepledge::ctl

#endif // STEPLEDGE_CTL_TYPES_CTLOPTIONS_H
