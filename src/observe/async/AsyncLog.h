// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Structured lines on standard output that never hold up their writer.

#ifndef STEPLEDGE_OBSERVE_ASYNC_ASYNCLOG_H
#define STEPLEDGE_OBSERVE_ASYNC_ASYNCLOG_H

#include "base/types/Time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace stepledge::observe {

struct AsyncLogOptions {
  /// Lines a second; more are counted and left out.
  int LinesPerSecond = 200;
  /// Lines that may wait for a reader that is slow; the oldest go first.
  std::size_t QueueLength = 1024;
};

/// A line is "time=... node=... event=... key=value ...".
class AsyncLog {
public:
  AsyncLog(const std::string &node, AsyncLogOptions options);
  ~AsyncLog();
  AsyncLog(const AsyncLog &) = delete;
  AsyncLog &operator=(const AsyncLog &) = delete;

  void write(TimePoint now, const std::string &line);
  /// How many lines were left out since the start.
  std::uint64_t leftOut() const { return LeftOut; }

private:
  struct Sink;

  AsyncLogOptions Options;
  std::unique_ptr<Sink> Output;
  TimePoint SecondStart{};
  int InSecond = 0;
  std::uint64_t LeftOut = 0;
  std::uint64_t LeftOutInSecond = 0;
};

} // namespace stepledge::observe

#endif // STEPLEDGE_OBSERVE_ASYNC_ASYNCLOG_H
