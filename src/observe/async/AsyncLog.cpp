// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "observe/async/AsyncLog.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <utility>

namespace stepledge::observe {

struct AsyncLog::Sink {
  std::shared_ptr<spdlog::details::thread_pool> Pool;
  std::shared_ptr<spdlog::async_logger> Logger;
};

AsyncLog::AsyncLog(const std::string &node, AsyncLogOptions options)
    : Options(options), Output(std::make_unique<Sink>()) {
  Output->Pool =
      std::make_shared<spdlog::details::thread_pool>(options.QueueLength, 1);
  // NOTE: the newest lines matter most, and no writer ever waits.
  Output->Logger = std::make_shared<spdlog::async_logger>(
      node, std::make_shared<spdlog::sinks::stdout_sink_mt>(), Output->Pool,
      spdlog::async_overflow_policy::overrun_oldest);
  Output->Logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e node=%n %v");
  Output->Logger->flush_on(spdlog::level::info);
}

AsyncLog::~AsyncLog() = default;

void AsyncLog::write(TimePoint now, const std::string &line) {
  if (now - SecondStart >= std::chrono::seconds(1)) {
    SecondStart = now;
    InSecond = 0;
    if (const auto n = std::exchange(LeftOutInSecond, 0); n > 0)
      Output->Logger->info("event=lines_left_out count={}", n);
  }
  if (++InSecond > Options.LinesPerSecond) {
    ++LeftOut;
    ++LeftOutInSecond;
    return;
  }
  Output->Logger->info(line);
}

} // namespace stepledge::observe
