// Case 2: the control group never has a majority again, though two of its three
// machines run undisturbed all the time. The third loses its disk, starts
// again, and soon loses its disk once more, some times in a row.
#include "../standins/harness.h"

using namespace review;

namespace {

/// How often the machine loses its disk.
constexpr int Losses = 12;
/// A process that ends or is killed starts again after a short delay.
constexpr int RestartMs = 300;
/// How long it runs before it loses its disk again, at least and at most.
constexpr int LeastLifeMs = 450;
constexpr int MostLifeMs = 650;
/// How long the operator asks: more than contact_ms, outer_ms, recovery_s and
/// ack_timeout_ms together.
constexpr double AskS = 45.0;

} // namespace

int main(int argc, char **argv) {
  ::signal(SIGPIPE, SIG_IGN);
  const auto arguments = readArguments(argc, argv);
  if (!arguments)
    return CouldNotRun;
  record.open(arguments->Record + "/record.txt");
  const char *logs = std::getenv("KEEP_LOGS");
  const bool isTrouble = arguments->IsTrouble;
  note("trouble=", isTrouble);
  if (!takeNet())
    return CouldNotRun;
  Fleet fleet(arguments->Temporary);
  Group group("svc1", 3, 0);
  const std::vector<int> first{0, 1, 2};
  std::vector<std::unique_ptr<Instance>> instances;
  for (std::size_t i = 0; i < 3; ++i)
    instances.push_back(
        std::make_unique<Instance>(group, i, std::vector<int>{0, 1, 2}));
  Platform platform({&group});
  bool isUp = platform.run();
  for (auto &it : instances)
    isUp = isUp && it->run();
  for (int i = 0; i < 3; ++i)
    fleet.start(cat("control-", i));
  for (int i = 0; i < 2; ++i)
    fleet.start(cat("entry-", i));
  const auto document = configuration(7, {{"db1", "primary"}}, 0);
  isUp = isUp && replaceConfiguration(first, document, 15000);
  for (int i = 0; i < 2; ++i)
    isUp = isUp && awaitReady(i, 15000);
  if (!isUp) {
    note("the system did not start");
    finish(fleet, CouldNotRun, logs);
  }
  note("configuration 7 is acknowledged");
  pauseMs(2000);
  std::mt19937 random(std::random_device{}());
  for (int i = 0; i < Losses; ++i) {
    fleet.kill("control-2");
    if (isTrouble)
      fleet.wipeDisk("control-2");
    pauseMs(RestartMs);
    fleet.start("control-2");
    pauseMs(LeastLifeMs +
            static_cast<int>(random() % (MostLifeMs - LeastLifeMs)));
  }
  note("control-2 stays up from now on; control-0 and control-1 were never "
       "disturbed");
  const std::vector<int> nodes{0, 1, 2};
  const double until = now() + AskS;
  bool isRead = false;
  while (!isRead && now() < until) {
    for (const int it : nodes) {
      const auto answer =
          http(controlIp(it), ControlPort, "GET", "/-/Config.Get");
      note("operator: Config.Get at control-", it, " -> ", answer.Status,
           answer.Status == 200 ? " " + answer.Body.substr(0, 20) : "");
      isRead = isRead || (answer.Status == 200 && answer.Body == document);
    }
    pauseMs(1000);
  }
  const bool isOrdered = replaceConfiguration(
      nodes, configuration(8, {{"db1", "primary"}}, 0), 15000);
  for (const int it : nodes)
    if (fleet.hasEnded(cat("control-", it)))
      note("control-", it, " doesn't run");
  if (!isRead)
    note("CONFIG: the acknowledged configuration does not come, from any of "
         "the three machines, for ",
         AskS, " s");
  if (!isOrdered)
    note("no acknowledgement of configuration 8 for 15 s");
  std::printf("read back=%d next order acknowledged=%d\n", isRead, isOrdered);
  finish(fleet, isRead && isOrdered ? Held : Broken, logs);
}
