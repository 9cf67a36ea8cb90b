// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "daemon/DaemonModule.h"

#include "daemon/Supervisor.h"
#include "daemon/internal/Parts.h"
#include "daemon/internal/RequestService.h"
#include "daemon/internal/SystemClock.h"
#include "observe/ObserveModule.h"
#include "session/SessionModule.h"

#include "absl/strings/str_cat.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <csignal>
#include <filesystem>
#include <memory>
#include <random>

namespace stepledge::daemon {

namespace {

using observe::Part;

constexpr std::size_t JournalLimit = 20000;
constexpr Duration DrainCheck = milliseconds(20);

class Daemon {
public:
  explicit Daemon(const settings::Settings &settings)
      : Config(settings), Log(observe::makeLog(settings.LogLevel)),
        Metrics(observe::makeMetrics()),
        Tracer(observe::makeTracer(settings.DataFolder, settings.Vm.str())),
        Journal(observe::makeDecisionJournal(JournalLimit)),
        Tokens(session::makeTokenCodec(settings.SessionKeys, settings.Limits)),
        Root(
            "daemon", *Log, monotonicNow,
            [this](TimePoint at, std::function<void()> action) {
              later(at, std::move(action));
            },
            [this](const std::string &reason) { giveUp(reason); }),
        Signals(Context, SIGINT, SIGTERM) {
    auto requests = std::make_unique<RequestService>(
        Context, Config, Observers{*Log, *Metrics, *Tracer, *Journal},
        seedFromSystem());
    Requests = requests.get();
    Handler = api::makeCallHandler(Config, *Tokens, *Requests);
    Root.add(std::move(requests));
    if (Config.Mesh.isSet())
      Root.add(std::make_unique<MeshPart>(Context, Config, *Requests));
    Root.add(std::make_unique<ApiPart>(Context, Config, *Handler));
  }

  int run() {
    Signals.async_wait([this](asio::error_code ec, int) {
      if (!ec)
        beginStop();
    });
    Log->info(Part::Daemon, absl::StrCat("starting ", Config.Vm.str(), " in ",
                                         Config.Hall.str()));
    Root.start();
    Context.run();
    return ExitCode;
  }

private:
  static std::uint64_t seedFromSystem() {
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device();
  }

  void later(TimePoint at, std::function<void()> action) {
    auto timer = std::make_shared<asio::steady_timer>(Context, asioTime(at));
    timer->async_wait([timer, action = std::move(action)](asio::error_code ec) {
      if (!ec)
        action();
    });
  }

  void giveUp(const std::string &reason) {
    Log->error(Part::Daemon, absl::StrCat("giving up: ", reason));
    ExitCode = 1;
    Context.stop();
  }

  // The balancer first hears that this VM is going; only after it has had
  // time to act are new requests refused; what is open runs to its end.
  void beginStop() {
    Requests->announceStop();
    const auto now = monotonicNow();
    later(now + Config.Timing.DrainNotice, [this] {
      Requests->refuseNew();
      const auto limit = monotonicNow() + Config.Timing.TransactionTotal +
                         Config.Timing.LongestDeadline;
      finishStop(limit);
    });
  }

  void finishStop(TimePoint limit) {
    const auto now = monotonicNow();
    if (!Requests->isDrained() && now < limit)
      return later(now + DrainCheck, [this, limit] { finishStop(limit); });
    Requests->endAll();
    // NOTE: One more turn, so that the last answers are written.
    later(now + 2 * DrainCheck, [this] {
      Root.stop();
      Log->info(Part::Daemon, "stopped");
      Context.stop();
    });
  }

  const settings::Settings &Config;
  asio::io_context Context{1};
  std::unique_ptr<observe::ILog> Log;
  std::unique_ptr<observe::IMetrics> Metrics;
  std::unique_ptr<observe::ITracer> Tracer;
  std::unique_ptr<observe::IDecisionJournal> Journal;
  std::unique_ptr<session::ITokenCodec> Tokens;
  std::unique_ptr<http::ICallHandler> Handler;
  Supervisor Root;
  RequestService *Requests = nullptr;
  asio::signal_set Signals;
  int ExitCode = 0;
};

} // namespace

int runDaemon(const settings::Settings &settings) {
  if (!settings.DataFolder.empty())
    std::filesystem::create_directories(settings.DataFolder);
  Daemon daemon(settings);
  return daemon.run();
}

} // namespace stepledge::daemon
