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
/// The largest srv_slow of the site files: for how long, and how many times as
/// long its work takes.
constexpr double SlowS = 7.0;
constexpr double SlowFactor = 6.06;
/// The work of a question of the system, which takes a slot, on any instance:
/// about that of the sheet's lookups (estoque, 40 ms in the middle).
constexpr int LeastWorkMs = 45;
constexpr int MostWorkMs = 57;

struct Written {
  std::mutex Mutex;
  std::map<std::string, double> Done;
};

/// Writes to one database until told to end.
void write(int number, const std::string &database, std::atomic<bool> &isOver,
           Written &written) {
  while (!isOver) {
    Client client(cat("c", number, "t", static_cast<int>(now() * 1000)),
                  database, number % 3);
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

int workMs(double factor) {
  static std::mt19937 random(std::random_device{}());
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  const int span = MostWorkMs - LeastWorkMs + 1;
  const int work = LeastWorkMs + static_cast<int>(random() % span);
  return static_cast<int>(work * factor);
}

/// The primary of the service is replaced, while its last replica is slow if
/// there is trouble; how many acknowledged writes the new primary lacks.
int replacePrimary(Group &group, const std::string &database,
                   const std::vector<Instance *> &instances, bool isTrouble) {
  std::atomic<bool> isOver{false};
  Written written;
  std::vector<std::thread> clients;
  for (int i = 0; i < Clients; ++i)
    clients.emplace_back([&, i] { write(i, database, isOver, written); });
  pauseMs(2000);
  if (isTrouble) {
    note("replica ", instances[2]->id(), " turns slow for ", SlowS, " s");
    instances[2]->QuestionMs = [until = now() + SlowS] {
      return workMs(now() < until ? SlowFactor : 1);
    };
  }
  instances[0]->drain();
  const double from = now();
  bool isPromoted = false;
  while (!isPromoted && now() < from + 14) {
    pauseMs(20);
    const double acked = instances[0]->DrainingAckedAt;
    if (acked > 0 && now() > acked + DrainS && !instances[0]->HasEnded)
      instances[0]->end();
    const std::lock_guard lock(group.Mutex);
    isPromoted = group.Term > 3;
  }
  pauseMs(2000);
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
  note(group.Service, ": promoted=", isPromoted,
       " acknowledged=", written.Done.size(), " lost=", lost);
  std::printf("%s: promoted=%d acknowledged=%zu lost=%d\n",
              group.Service.c_str(), isPromoted, written.Done.size(), lost);
  return lost;
}

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
  Group first("svc1", 3, 1);
  Group second("svc2", 3, 1, 3);
  Group third("svc3", 3, 1, 6);
  const std::vector<Group *> groups{&first, &second, &third};
  const std::vector<int> controls{0, 1, 2};
  std::vector<std::unique_ptr<Instance>> instances;
  for (auto *of : groups)
    for (std::size_t i = 0; i < 3; ++i) {
      instances.push_back(std::make_unique<Instance>(*of, i, controls));
      instances.back()->QuestionMs = [] { return workMs(1); };
    }
  Platform platform(groups);
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
  // One service after the other, until an acknowledged write is lost.
  int lost = 0;
  for (std::size_t n = 0; n < groups.size() && lost == 0; ++n)
    lost = replacePrimary(*groups[n], cat("db", n + 1),
                          {instances[3 * n].get(), instances[3 * n + 1].get(),
                           instances[3 * n + 2].get()},
                          isTrouble);
  finish(fleet, lost > 0 ? Broken : Held, logs);
}
