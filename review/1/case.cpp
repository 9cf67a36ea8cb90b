// Case 1: the log of the instance that is promoted lacks acknowledged commits.
// A planned replacement of a primary with sync_replicas 1, while one replica
// turns slow and answers the system's questions late.
#include "../standins/harness.h"

using namespace review;

namespace {

constexpr int Clients = 2;
constexpr int ClientPauseMs = 300;
/// From the acknowledgement that it drains until the primary ends: drain_ms
/// and a little longer.
constexpr double DrainS = 8.0;
/// For how long the replica is slow, as the longest srv_slow of the site files.
constexpr double SlowS = 7.0;
/// How long a question of the system waits there for a slot, at least and at
/// most.
constexpr int LeastWaitMs = 255;
constexpr int MostWaitMs = 280;

struct Written {
  std::mutex Mutex;
  std::map<std::string, double> Done;
};

void write(int number, std::atomic<bool> &isOver, Written &written) {
  while (!isOver) {
    Client client(cat("c", number, "t", static_cast<int>(now() * 1000)), "db1",
                  number % 3);
    if (!client.connect()) {
      pauseMs(100);
      continue;
    }
    while (!isOver) {
      std::string id;
      const auto answer = client.ask(cat("WRITE t", number, " abc"), id);
      if (answer.Code == "DONE" && answer.Signature == "sig-" + id) {
        const std::lock_guard lock(written.Mutex);
        written.Done[id] = now();
      }
      if (answer.IsBroken)
        break;
      pauseMs(ClientPauseMs);
    }
  }
}

} // namespace

int main(int argc, char **argv) {
  ::signal(SIGPIPE, SIG_IGN);
  const std::string folder = argc > 1 ? argv[1] : ".";
  record.open(folder + "/record.txt");
  const char *logs = std::getenv("KEEP_LOGS");
  const bool isTrouble = hasTrouble();
  note("trouble=", isTrouble);
  if (!takeNet())
    return CouldNotRun;
  Fleet fleet;
  Group group("svc1", 3, 1);
  Group second("svc2", 3, 1, 3);
  Group third("svc3", 3, 1, 6);
  const std::vector<int> controls{0, 1, 2};
  std::vector<std::unique_ptr<Instance>> instances;
  for (auto *of : {&group, &second, &third})
    for (std::size_t i = 0; i < 3; ++i)
      instances.push_back(std::make_unique<Instance>(*of, i, controls));
  Platform platform(group);
  platform.Promoted = [&] {
    for (auto &it : instances)
      it->beatSoon();
  };
  bool isUp = platform.run();
  for (auto &it : instances)
    isUp = isUp && it->run();
  for (int i = 0; i < 3; ++i)
    fleet.start(cat("control-", i));
  for (int i = 0; i < 3; ++i)
    fleet.start(cat("entry-", i));
  isUp =
      isUp && replaceConfiguration(controls,
                                   configuration(1,
                                                 {{"db1", "primary", "svc1"},
                                                  {"db2", "primary", "svc2"},
                                                  {"db3", "primary", "svc3"}},
                                                 1),
                                   15000);
  for (int i = 0; i < 3; ++i)
    isUp = isUp && awaitReady(i, 15000);
  if (!isUp) {
    note("the system did not start");
    finish(fleet, CouldNotRun, logs);
  }
  std::atomic<bool> isOver{false};
  Written written;
  std::vector<std::thread> clients;
  for (int i = 0; i < Clients; ++i)
    clients.emplace_back([&, i] { write(i, isOver, written); });
  pauseMs(3000);
  if (isTrouble) {
    note("replica ", instances[2]->id(), " turns slow for ", SlowS, " s");
    instances[2]->QuestionMs = [until = now() + SlowS] {
      static std::mt19937 random(std::random_device{}());
      static std::mutex mutex;
      const std::lock_guard lock(mutex);
      const int span = MostWaitMs - LeastWaitMs;
      return now() < until ? LeastWaitMs + static_cast<int>(random() % span)
                           : 0;
    };
  }
  instances[0]->drain();
  const double from = now();
  bool isPromoted = false;
  while (now() < from + 20) {
    pauseMs(20);
    const double acked = instances[0]->DrainingAckedAt;
    if (acked > 0 && now() > acked + DrainS && !instances[0]->HasEnded)
      instances[0]->end();
    const std::lock_guard lock(group.Mutex);
    isPromoted = group.Term > 3;
    if (isPromoted)
      break;
  }
  pauseMs(3000);
  isOver = true;
  for (auto &it : clients)
    it.join();
  int lost = 0;
  for (const auto &it : group.RolledBack) {
    const auto found = written.Done.find(it);
    if (found == written.Done.end())
      continue;
    ++lost;
    note("LOST: write ", it, ", acknowledged to its client at ", found->second,
         ", is not in the log of the instance that was promoted");
  }
  note("promoted=", isPromoted, " acknowledged=", written.Done.size(),
       " lost=", lost);
  std::printf("promoted=%d acknowledged=%zu lost=%d\n", isPromoted,
              written.Done.size(), lost);
  finish(fleet, lost > 0 ? Broken : Held, logs);
}
