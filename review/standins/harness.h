// Stand-ins for the review's scripts: the platform's settings, its promotion
// call, database instances, the operator and clients, by the users' pages.
// POSIX sockets and threads only; all addresses are loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point Start = Clock::now();
inline double now() {
  return std::chrono::duration<double>(Clock::now() - Start).count();
}
inline void pauseMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// What was sent, answered and run, one line each, with the seconds since the
/// start.
class Record {
public:
  void open(const std::string &path) { Out.open(path, std::ios::trunc); }
  void line(const std::string &text) {
    const std::lock_guard lock(Mutex);
    char stamp[32];
    std::snprintf(stamp, sizeof(stamp), "%9.3f ", now());
    Out << stamp << text << "\n";
    Out.flush();
  }

private:
  std::mutex Mutex;
  std::ofstream Out;
};
inline Record record;

inline std::string cat() { return {}; }
template <typename T, typename... Rest>
std::string cat(const T &first, const Rest &...rest) {
  std::ostringstream out;
  out << first;
  return out.str() + cat(rest...);
}
template <typename... Parts> void note(const Parts &...parts) {
  record.line(cat(parts...));
}

// --- sockets ---------------------------------------------------------------

inline sockaddr_in addressOf(const std::string &ip, int port) {
  sockaddr_in it{};
  it.sin_family = AF_INET;
  it.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &it.sin_addr);
  return it;
}

inline int listenAt(const std::string &ip, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const auto it = addressOf(ip, port);
  if (::bind(fd, reinterpret_cast<const sockaddr *>(&it), sizeof(it)) != 0 ||
      ::listen(fd, 256) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline int connectTo(const std::string &ip, int port, int timeoutMs) {
  const int fd =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const auto it = addressOf(ip, port);
  int rc = ::connect(fd, reinterpret_cast<const sockaddr *>(&it), sizeof(it));
  if (rc != 0 && errno == EINPROGRESS) {
    pollfd wait{fd, POLLOUT, 0};
    int error = 1;
    socklen_t n = sizeof(error);
    if (::poll(&wait, 1, timeoutMs) == 1)
      ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n);
    rc = error == 0 ? 0 : -1;
  }
  if (rc != 0) {
    ::close(fd);
    return -1;
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return fd;
}

inline bool sendAll(int fd, const std::string &bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const auto n =
        ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

/// Reads lines of one connection.
class Lines {
public:
  explicit Lines(int fd = -1) : Fd(fd) {}
  /// Nothing at the end of the connection, or after \p timeoutMs.
  std::optional<std::string> next(int timeoutMs = -1) {
    const double until = timeoutMs < 0 ? 1e9 : now() + timeoutMs / 1000.0;
    while (true) {
      const auto end = Buffer.find('\n');
      if (end != std::string::npos) {
        std::string line = Buffer.substr(0, end);
        Buffer.erase(0, end + 1);
        if (!line.empty() && line.back() == '\r')
          line.pop_back();
        return line;
      }
      pollfd wait{Fd, POLLIN, 0};
      const int left =
          timeoutMs < 0 ? -1
                        : std::max(0, static_cast<int>((until - now()) * 1000));
      const int ready = ::poll(&wait, 1, left);
      if (ready == 0) {
        HasTimedOut = true;
        return std::nullopt;
      }
      char chunk[65536];
      const auto n = ::recv(Fd, chunk, sizeof(chunk), 0);
      if (n <= 0)
        return std::nullopt;
      Buffer.append(chunk, static_cast<std::size_t>(n));
    }
  }
  bool HasTimedOut = false;
  std::string Buffer;

private:
  int Fd;
};

struct HttpAnswer {
  int Status = 0;
  std::string Body;
};

/// One call on a connection of its own; status 0 if no answer came in time.
inline HttpAnswer http(const std::string &ip, int port,
                       const std::string &method, const std::string &path,
                       const std::string &body = "", int timeoutMs = 1000) {
  HttpAnswer answer;
  const double until = now() + timeoutMs / 1000.0;
  const int fd = connectTo(ip, port, timeoutMs);
  if (fd < 0)
    return answer;
  sendAll(fd, cat(method, " ", path, " HTTP/1.1\r\nHost: ", ip, ":", port,
                  "\r\nContent-Type: application/json\r\nContent-Length: ",
                  body.size(), "\r\nConnection: close\r\n\r\n", body));
  std::string all;
  while (true) {
    pollfd wait{fd, POLLIN, 0};
    const int left = std::max(0, static_cast<int>((until - now()) * 1000));
    if (::poll(&wait, 1, left) != 1)
      break;
    char chunk[65536];
    const auto n = ::recv(fd, chunk, sizeof(chunk), 0);
    if (n <= 0) {
      const auto head = all.find("\r\n\r\n");
      if (head != std::string::npos && all.size() > 12) {
        answer.Status = std::atoi(all.c_str() + 9);
        answer.Body = all.substr(head + 4);
      }
      break;
    }
    all.append(chunk, static_cast<std::size_t>(n));
  }
  ::close(fd);
  return answer;
}

// --- the system's processes ------------------------------------------------

constexpr int ControlPort = 8782;
constexpr int PromotePort = 8783;
constexpr int FrontPort = 8784;
constexpr int ReadyPort = 8785;
constexpr int InstancePort = 8149;

inline int Net = 0;
inline std::string ipOf(int host) { return cat("127.", Net, ".0.", host); }
inline std::string controlIp(int n) { return ipOf(10 + n); }
inline std::string entryIp(int n) { return ipOf(40 + n); }
inline std::string instanceIp(int n) { return ipOf(80 + n); }
inline std::string platformIp() { return ipOf(5); }

/// Takes a loopback network in which every address of a case is free.
inline bool takeNet() {
  std::mt19937 random(std::random_device{}());
  for (int i = 0; i < 50; ++i) {
    Net = 20 + static_cast<int>(random() % 200);
    // The claim stays, so that two cases don't take the same network.
    const int claim = listenAt(ipOf(250), ControlPort);
    if (claim < 0)
      continue;
    std::vector<std::pair<std::string, int>> wanted{
        {platformIp(), PromotePort}};
    for (int n = 0; n < 3; ++n) {
      wanted.emplace_back(controlIp(n), ControlPort);
      wanted.emplace_back(entryIp(n), FrontPort);
      wanted.emplace_back(entryIp(n), ReadyPort);
    }
    for (int n = 0; n < 9; ++n)
      wanted.emplace_back(instanceIp(n), InstancePort);
    for (const int port : {7440, 7441, 7442})
      for (int n = 0; n < 3; ++n) {
        wanted.emplace_back(controlIp(n), port);
        wanted.emplace_back(entryIp(n), port);
      }
    bool areFree = true;
    for (const auto &[ip, port] : wanted) {
      const int probe = listenAt(ip, port);
      areFree = areFree && probe >= 0;
      if (probe >= 0)
        ::close(probe);
    }
    if (areFree)
      return true;
    ::close(claim);
  }
  return false;
}

/// The processes of the deploy file, each with the settings that the platform
/// writes for it.
class Fleet {
public:
  /// \p folder: a temporary one, for settings, disks and logs.
  explicit Fleet(std::string folder) : Folder(std::move(folder)) {}
  ~Fleet() {
    for (auto &[name, pid] : Pids)
      if (pid > 0) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
      }
  }
  /// The machines that seed_nodes names in settings written from now on.
  std::vector<int> Seeds{0, 1, 2};
  /// \p isNew: the machine was not there at the first start of the system.
  void start(const std::string &name, bool isNew = false) {
    const bool isControl = name.starts_with("control");
    const int n = std::atoi(name.c_str() + name.find('-') + 1);
    const std::string ip = isControl ? controlIp(n) : entryIp(n);
    const std::string data = cat(Folder, "/", name, "-data");
    if (isControl)
      std::filesystem::create_directories(data);
    const bool isFirst = !isNew && Started.insert(name).second;
    const std::string path = cat(Folder, "/", name, ".json");
    std::ofstream(path) << settings(name, isControl, n, ip, data, isFirst);
    const std::string log = cat(Folder, "/", name, ".log");
    const std::string boot = "STEPLEDGE_BOOT=" + path;
    const std::string home = "HOME=" + Folder;
    const pid_t pid = ::fork();
    if (pid == 0) {
      // The processes end with this one, however it ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::signal(SIGPIPE, SIG_DFL);
      const char *program = "target/platform/stepledge";
      const char *role = isControl ? "control" : "entry";
      const char *argv[] = {program, role, nullptr};
      const char *env[] = {boot.c_str(), home.c_str(), "LANG=C", nullptr};
      ::execve(program, const_cast<char *const *>(argv),
               const_cast<char *const *>(env));
      ::_exit(127);
    }
    Pids[name] = pid;
    note("platform starts ", name, " at ", ip, " bootstrap=", isFirst);
  }
  void signal(const std::string &name, int number) {
    note("platform sends signal ", number, " to ", name);
    ::kill(Pids[name], number);
  }
  /// Waits for the end of a process; false if it still runs.
  bool awaitEnd(const std::string &name, int timeoutMs) {
    const double until = now() + timeoutMs / 1000.0;
    while (now() < until) {
      if (hasEnded(name))
        return true;
      pauseMs(5);
    }
    return false;
  }
  bool hasEnded(const std::string &name) {
    auto &pid = Pids[name];
    if (pid <= 0)
      return true;
    int status = 0;
    if (::waitpid(pid, &status, WNOHANG) != pid)
      return false;
    EndedBy[name] = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    note(name, " has ended",
         WIFSIGNALED(status) ? cat(" by signal ", WTERMSIG(status))
                             : cat(" with code ", WEXITSTATUS(status)));
    pid = 0;
    return true;
  }
  /// The signal that ended the process, 0 if it ended by itself.
  int endedBy(const std::string &name) { return EndedBy[name]; }
  void kill(const std::string &name) {
    signal(name, SIGKILL);
    awaitEnd(name, 3000);
  }
  void wipeDisk(const std::string &name) {
    std::error_code ec;
    std::filesystem::remove_all(cat(Folder, "/", name, "-data"), ec);
    note("the disk of ", name, " is lost");
  }
  /// Copies the logs, for a look at a run.
  void keepLogs(const std::string &to) {
    std::error_code ec;
    std::filesystem::create_directories(to, ec);
    for (const auto &it : std::filesystem::directory_iterator(Folder, ec))
      if (it.path().extension() == ".log")
        std::filesystem::copy_file(
            it.path(), std::filesystem::path(to) / it.path().filename(),
            std::filesystem::copy_options::overwrite_existing, ec);
  }

private:
  std::string settings(const std::string &name, bool isControl, int n,
                       const std::string &ip, const std::string &data,
                       bool isFirst) const {
    const char *zones[] = {"zone-a", "zone-b", "zone-c"};
    const std::string binds =
        isControl ? cat("{\"control\":\"", ip, ":", ControlPort, "\"}")
                  : cat("{\"front\":\"", ip, ":", FrontPort, "\",\"ready\":\"",
                        ip, ":", ReadyPort, "\"}");
    std::string seeds;
    for (const int it : Seeds)
      seeds += cat(seeds.empty() ? "" : ",", "\"", controlIp(it), ":",
                   ControlPort, "\"");
    return cat(
        "{\"node_name\":\"", name, "\",\"role\":\"",
        isControl ? "control" : "entry", "\",\"machine_class\":\"",
        isControl ? "core" : "front", "\",\"serves\":[\"",
        isControl ? "control" : "front", "\"],\"ip\":\"", ip, "\",\"zone\":\"",
        zones[n % 3], "\",\"region\":\"region\",\"zones\":{",
        "\"zone-a\":\"region\",\"zone-b\":\"region\",\"zone-c\":\"region\"},",
        "\"bind_addrs\":", binds, ",\"port_range\":[7440,7455],",
        "\"seed_nodes\":[", seeds,
        "],\"bootstrap\":", isFirst ? "true" : "false",
        ",\"counts_as_loss\":", isControl ? "true" : "false",
        ",\"limits\":{\"cpu_share\":0.25,\"cpu_cores\":1,\"memory_mb\":260,"
        "\"max_fds\":4200,\"bandwidth_mbps\":1000.0,\"disk_mb\":",
        isControl ? 128 : 0,
        "},\"data_dir\":", isControl ? cat("\"", data, "\"") : "null",
        ",\"discovery\":\"registry\",\"entrypoint\":\"vip\","
        "\"heartbeat_ms\":1200,\"policies\":[\"base\",\"drain\",\"config\","
        "\"cost\",\"recover\",\"sql\"],\"fault_tolerance\":{\"machines\":1,"
        "\"zones\":1,\"regions\":0},\"bounds\":{\"seed_lag_s\":3,"
        "\"addr_reuse_s\":2,\"contact_ms\":4000,\"ack_timeout_ms\":5000,"
        "\"catch_up_s\":4,\"drain_ms\":7000,\"grace_s\":6,"
        "\"loss_slack_ms\":200,\"config_apply_ms\":3000,\"downgrade_ms\":250,"
        "\"outer_ms\":12000,\"recovery_s\":12,\"require_fencing\":true,"
        "\"thaw_ms\":300},\"config_mode\":\"highest\",\"cloud_api\":{"
        "\"address\":\"",
        platformIp(), ":", PromotePort,
        "\",\"rate_per_s\":50.0,\"duties\":[\"failover\"],"
        "\"duty_per_s\":50.0}}");
  }

  std::string Folder;
  std::set<std::string> Started;
  std::map<std::string, pid_t> Pids;
  std::map<std::string, int> EndedBy;
};

// --- the operator ----------------------------------------------------------

struct RouteOf {
  std::string Database;
  std::string Type;
  std::string Service = "svc1";
  int TimeoutMs = 1000;
};

inline std::string configuration(int version,
                                 const std::vector<RouteOf> &routes,
                                 int syncReplicas) {
  std::string list;
  std::set<std::string> names;
  for (const auto &it : routes)
    names.insert(it.Service);
  std::string services;
  for (const auto &it : names)
    services += cat(services.empty() ? "" : ",", "{\"name\":\"", it,
                    "\",\"health_path\":\"/health\",\"max_connections\":38,"
                    "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":",
                    syncReplicas, "}");
  for (const auto &it : routes)
    list += cat(list.empty() ? "" : ",", "{\"name\":\"r-", it.Database,
                "\",\"hostname\":\"", it.Database,
                "\",\"path_prefix\":\"/\",\"type\":\"", it.Type,
                "\",\"timeout_ms\":", it.TimeoutMs,
                ",\"target_latency_ms\":250,\"priority\":1,\"service\":\"",
                it.Service, "\",\"max_attempts\":2,\"max_staleness_ms\":2500}");
  return cat("{\"version\":", version, ",\"routes\":[", list,
             "],\"services\":[", services,
             "],\"limits\":{\"max_header_bytes\":16384,"
             "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
             "\"idle_timeout_ms\":15000,\"tx_idle_ms\":3000}}");
}

/// Sends the order to one node after the other until one acknowledges it.
inline bool replaceConfiguration(const std::vector<int> &controls,
                                 const std::string &document, int limitMs) {
  const double until = now() + limitMs / 1000.0;
  while (now() < until) {
    for (const int it : controls) {
      const auto answer = http(controlIp(it), ControlPort, "POST",
                               "/-/Config.Replace", document);
      note("operator: Config.Replace at control-", it, " -> ", answer.Status);
      if (answer.Status == 200)
        return true;
      if (now() > until)
        return false;
    }
    pauseMs(100);
  }
  return false;
}

inline bool awaitReady(int entry, int limitMs) {
  const double until = now() + limitMs / 1000.0;
  while (now() < until) {
    if (http(entryIp(entry), ReadyPort, "GET", "/-/ready", "", 500).Status ==
        200) {
      note("entry-", entry, " is ready");
      return true;
    }
    pauseMs(50);
  }
  return false;
}

// --- one database service --------------------------------------------------

inline std::vector<std::string> wordsOf(const std::string &text) {
  std::istringstream in(text);
  std::vector<std::string> words;
  for (std::string it; in >> it;)
    words.push_back(it);
  return words;
}

/// A primary and its replicas. Each commit takes the next number and goes to
/// the replicas over the network; with SyncReplicas 1 it is answered once one
/// replica has received it. A paused replica receives nothing.
class Group {
public:
  struct Commit {
    std::vector<std::string> Writes;
    /// The primary has answered it as done.
    bool IsAnswered = false;
  };
  struct Member {
    std::string Id;
    std::string Ip;
    /// How many commits of the primary's log it has received.
    std::size_t Received = 0;
    bool IsPaused = false;
    /// On the way from the primary, in ms.
    int NetworkMs = 1;
  };

  /// \p firstHost: the number of the first member's address.
  Group(std::string service, int members, int syncReplicas, int firstHost = 0)
      : Service(std::move(service)), SyncReplicas(syncReplicas) {
    for (int i = 0; i < members; ++i)
      Members.push_back(
          {cat("i-", Service, "-", i), instanceIp(firstHost + i), 0, false, 1});
  }

  std::string Service;
  int SyncReplicas;
  std::vector<Member> Members;
  std::size_t Lead = 0;
  int Term = 3;
  std::vector<Commit> Log;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::uint64_t NewestFence = 0;
  /// The writes of commits that were answered as done and that a promotion has
  /// rolled back.
  std::vector<std::string> RolledBack;

  std::size_t held(std::size_t n) const {
    return n == Lead ? Log.size() : Members[n].Received;
  }
  std::string positionOf(std::size_t n) const {
    return cat(Term, ".", held(n));
  }
  /// Replicas receive commit \p index after their time on the network.
  void replicate(std::size_t index, int term) {
    for (std::size_t n = 0; n < Members.size(); ++n)
      std::thread([this, n, index, term] {
        pauseMs(Members[n].NetworkMs);
        const std::lock_guard lock(Mutex);
        if (n == Lead || Members[n].IsPaused || Term != term)
          return;
        Members[n].Received = std::max(Members[n].Received, index);
        Changed.notify_all();
      }).detach();
  }
  void resume(std::size_t n) {
    const std::lock_guard lock(Mutex);
    if (n == Lead || !Members[n].IsPaused)
      return;
    Members[n].IsPaused = false;
    Members[n].Received = Log.size();
    Changed.notify_all();
  }
  /// Keeps a commit on the primary; false if its answer breaks off.
  bool keep(std::size_t n, std::vector<std::string> writes) {
    std::unique_lock lock(Mutex);
    if (n != Lead)
      return false;
    const int term = Term;
    std::string ids;
    for (const auto &it : writes)
      ids += " " + it;
    Log.push_back({std::move(writes), false});
    const std::size_t index = Log.size();
    note("instance ", Members[n].Id, " keeps commit ", term, ".", index, ":",
         ids);
    replicate(index, term);
    const auto isReceived = [&] {
      int n = 0;
      for (std::size_t i = 0; i < Members.size(); ++i)
        n += i != Lead && Members[i].Received >= index;
      return n >= SyncReplicas;
    };
    Changed.wait(lock, [&] { return Term != term || isReceived() || IsOver; });
    if (Term != term || IsOver)
      return false;
    Log[index - 1].IsAnswered = true;
    return true;
  }
  /// The instance leads the next term with what it had received, and no more.
  void promote(const std::string &id) {
    const std::lock_guard lock(Mutex);
    for (std::size_t n = 0; n < Members.size(); ++n) {
      if (Members[n].Id != id || n == Lead)
        continue;
      const std::size_t kept = Members[n].Received;
      note("instance ", id, " leads term ", Term + 1, " with ", kept, " of ",
           Log.size(), " commits");
      for (std::size_t i = kept; i < Log.size(); ++i)
        for (const auto &it : Log[i].Writes) {
          note("rolled back: commit ", Term, ".", i + 1, " write ", it,
               Log[i].IsAnswered ? " (was answered as done)" : "");
          if (Log[i].IsAnswered)
            RolledBack.push_back(it);
        }
      Log.resize(kept);
      Lead = n;
      ++Term;
      for (auto &it : Members) {
        it.Received = std::min(it.Received, kept);
        it.IsPaused = false;
      }
      Changed.notify_all();
    }
  }
  std::atomic<bool> IsOver{false};
};

/// One instance of the group: its wire and its heartbeats.
class Instance {
public:
  Instance(Group &group, std::size_t number, std::vector<int> controls)
      : It(group), Number(number), Controls(std::move(controls)) {}

  /// How long it waits for a slot before it answers a question of the system
  /// (STATUS, PAUSE, DEMOTE).
  std::function<int()> QuestionMs = [] { return 0; };
  int WorkMs = 6;
  std::atomic<bool> IsDraining{false};
  /// When the system acknowledged that it is draining; 0 before.
  std::atomic<double> DrainingAckedAt{0};
  /// It has ended: nothing listens, open connections are cut.
  std::atomic<bool> HasEnded{false};

  bool run() {
    const int fd = listenAt(ip(), InstancePort);
    if (fd < 0)
      return false;
    Listener = fd;
    std::thread([this, fd] {
      while (true) {
        const int it = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (it < 0)
          return;
        const int one = 1;
        ::setsockopt(it, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        {
          const std::lock_guard lock(OpenMutex);
          Open.insert(it);
        }
        std::thread([this, it] {
          serve(it);
          const std::lock_guard lock(OpenMutex);
          Open.erase(it);
          ::close(it);
        }).detach();
      }
    }).detach();
    std::thread([this] {
      while (!HasEnded) {
        beat();
        for (int i = 0; i < 120 && !HasEnded; ++i) {
          pauseMs(10);
          if (MustBeat.exchange(false))
            break;
        }
      }
    }).detach();
    return true;
  }
  void beatSoon() { MustBeat = true; }
  void drain() {
    IsDraining = true;
    note("instance ", id(), " says that it is draining");
    beatSoon();
  }
  /// Says that it ends, and ends.
  void end() {
    for (const int it : Controls)
      if (http(controlIp(it), ControlPort, "POST",
               "/-/Instances.Deregister/" + id())
              .Status == 200)
        break;
    note("instance ", id(), " ends");
    HasEnded = true;
    ::shutdown(Listener, SHUT_RDWR);
    ::close(Listener);
    const std::lock_guard lock(OpenMutex);
    for (const int it : Open)
      ::shutdown(it, SHUT_RDWR);
  }
  const std::string &id() const { return It.Members[Number].Id; }

private:
  struct Session {
    bool IsOpen = false;
    bool IsReadOnly = false;
    bool HasFailed = false;
    int BegunInTerm = 0;
    std::vector<std::string> Writes;
    std::map<std::string, std::string> Prepared;
  };

  const std::string &ip() const { return It.Members[Number].Ip; }

  void beat() {
    const char *zones[] = {"zone-a", "zone-b", "zone-c"};
    const bool isDraining = IsDraining;
    bool isLead = false;
    {
      const std::lock_guard lock(It.Mutex);
      isLead = It.Lead == Number;
    }
    const std::string body = cat(
        "{\"service\":\"", It.Service, "\",\"address\":\"", ip(), ":",
        InstancePort, "\",\"zone\":\"", zones[Number % 3],
        "\",\"version\":\"v1\",\"capacity\":3,\"state\":\"",
        isDraining ? "draining" : "ready",
        "\",\"warmup_left_ms\":0,\"db_role\":\"",
        isLead ? "primary" : "replica", "\",\"sequence\":", ++Sequence, "}");
    const std::size_t first = Sequence % Controls.size();
    for (std::size_t i = 0; i < Controls.size(); ++i) {
      const int control = Controls[(first + i) % Controls.size()];
      const auto answer = http(controlIp(control), ControlPort, "POST",
                               "/-/Instances.Heartbeat/" + id(), body);
      if (answer.Status < 200 || answer.Status >= 300)
        continue;
      if (isDraining && DrainingAckedAt == 0) {
        DrainingAckedAt = now();
        note("control-", control, " acknowledges that ", id(), " is draining");
      }
      return;
    }
  }

  std::string ready(const Session &session) {
    const std::lock_guard lock(It.Mutex);
    return cat("READY ",
               session.HasFailed ? "E"
               : session.IsOpen  ? "T"
                                 : "I",
               " ", It.positionOf(Number), "\r\n");
  }

  void serve(int fd) {
    Lines lines(fd);
    Session session;
    bool isConnected = false;
    while (const auto line = lines.next()) {
      if (HasEnded)
        return;
      const auto words = wordsOf(*line);
      if (words.empty() || words[0] == "QUIT")
        return;
      if (words[0] == "CONNECT") {
        const bool isOther = words.size() < 2 || words[1] != It.Service ||
                             (words.size() > 3 && words[3] != id());
        if (isOther) {
          sendAll(fd, cat("ERROR WRONGNODE ", id(), "\r\n"));
          return;
        }
        isConnected = true;
        if (!sendAll(fd, ready(session)))
          return;
        continue;
      }
      if (!isConnected || words[0] != "QUERY" || words.size() < 3)
        return;
      const std::string text =
          line->substr(line->find(words[1], 6) + words[1].size() + 1);
      const auto answer = run(session, words[1], text);
      if (!answer || HasEnded || !sendAll(fd, *answer + ready(session)))
        return;
    }
  }

  std::string refuse(Session &session, const char *code) {
    if (session.IsOpen) {
      session.HasFailed = true;
      session.Writes.clear();
    }
    return cat("ERROR ", code, " ", id(), "\r\n");
  }

  std::string statusRow() {
    const std::lock_guard lock(It.Mutex);
    return cat("ROW ", It.Lead == Number ? "primary" : "replica", " ", It.Term,
               " ", It.positionOf(Number), " ", It.Term,
               " 0 0 1\r\nDONE -\r\n");
  }

  /// Nothing where the answer breaks off.
  std::optional<std::string> run(Session &session, const std::string &queryId,
                                 std::string text) {
    auto words = wordsOf(text);
    std::size_t minimum = 0;
    int minimumTerm = 0;
    if (words[0] == "AFTER") {
      const auto dot = words[1].find('.');
      minimumTerm = std::atoi(words[1].substr(0, dot).c_str());
      minimum = std::strtoull(words[1].c_str() + dot + 1, nullptr, 10);
      text = text.substr(text.find(words[1]) + words[1].size() + 1);
      words = wordsOf(text);
    }
    const std::string &word = words[0];
    if (word == "STATUS") {
      pauseMs(QuestionMs());
      return statusRow();
    }
    if (word == "PAUSE") {
      pauseMs(QuestionMs());
      {
        const std::lock_guard lock(It.Mutex);
        if (It.Lead != Number && !It.Members[Number].IsPaused) {
          It.Members[Number].IsPaused = true;
          note("instance ", id(), " is paused at ", It.positionOf(Number));
        }
      }
      return statusRow();
    }
    if (word == "RESUME") {
      It.resume(Number);
      return statusRow();
    }
    if (word == "ROLLBACK") {
      if (!session.IsOpen)
        return cat("ERROR MALFORMED ", id(), "\r\n");
      session.IsOpen = session.HasFailed = false;
      session.Writes.clear();
      return "DONE -\r\n";
    }
    if (session.HasFailed)
      return cat("ERROR MALFORMED ", id(), "\r\n");
    if (word == "SET" || word == "DEALLOC")
      return "DONE -\r\n";
    if (word == "RESET") {
      session.Prepared.clear();
      return "DONE -\r\n";
    }
    if (word == "PREPARE") {
      session.Prepared[words.at(1)] = words.at(2);
      return "DONE -\r\n";
    }
    bool isLead = false;
    bool hasMinimum = true;
    {
      const std::lock_guard lock(It.Mutex);
      isLead = It.Lead == Number;
      hasMinimum = It.Term > minimumTerm || It.held(Number) >= minimum;
    }
    if (!hasMinimum)
      return refuse(session, "LAGGING");
    if (word == "BEGIN") {
      const bool isReadOnly = words.size() > 1;
      if (session.IsOpen)
        return refuse(session, "MALFORMED");
      if (!isReadOnly && !isLead)
        return cat("ERROR READONLY ", id(), "\r\n");
      session.IsOpen = true;
      session.IsReadOnly = isReadOnly;
      session.BegunInTerm = It.Term;
      return "DONE -\r\n";
    }
    note("instance ", id(), " receives ", queryId, " ", text);
    pauseMs(WorkMs);
    if (HasEnded)
      return std::nullopt;
    {
      const std::lock_guard lock(It.Mutex);
      isLead = It.Lead == Number;
    }
    const bool isWrite =
        word == "WRITE" ||
        (word == "EXECUTE" && session.Prepared[words.at(1)] == "WRITE");
    const bool hasLostLead = session.IsOpen && !session.IsReadOnly &&
                             (!isLead || session.BegunInTerm != It.Term);
    if (hasLostLead || (isWrite && (!isLead || session.IsReadOnly)))
      return refuse(session, "READONLY");
    if (word == "COMMIT") {
      const auto writes = std::exchange(session.Writes, {});
      session.IsOpen = false;
      if (!writes.empty() && !It.keep(Number, writes))
        return std::nullopt;
    } else if (isWrite && session.IsOpen) {
      session.Writes.push_back(queryId);
    } else if (isWrite && !It.keep(Number, {queryId})) {
      return std::nullopt;
    }
    note("instance ", id(), " has run ", queryId);
    const std::string row =
        isWrite || word == "COMMIT" ? "" : cat("ROW r-", queryId, "\r\n");
    return cat(row, "DONE sig-", queryId, "\r\n");
  }

  Group &It;
  std::size_t Number;
  std::vector<int> Controls;
  int Listener = -1;
  std::uint64_t Sequence = 0;
  std::atomic<bool> MustBeat{false};
  std::mutex OpenMutex;
  std::set<int> Open;
};

// --- the platform's promotion call -----------------------------------------

class Platform {
public:
  explicit Platform(std::vector<Group *> groups) : Groups(std::move(groups)) {}
  /// While it holds, calls are not answered and not carried out.
  std::atomic<bool> IsDown{false};
  /// Called after a promotion.
  std::function<void()> Promoted = [] {};

  bool run() {
    const int fd = listenAt(platformIp(), PromotePort);
    if (fd < 0)
      return false;
    std::thread([this, fd] {
      while (true) {
        const int it = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (it < 0)
          return;
        std::thread([this, it] {
          serve(it);
          ::close(it);
        }).detach();
      }
    }).detach();
    return true;
  }

private:
  void serve(int fd) {
    Lines lines(fd);
    std::uint64_t fence = 0;
    std::size_t length = 0;
    while (const auto line = lines.next(2000)) {
      if (line->empty())
        break;
      if (line->starts_with("X-Fencing-Token:"))
        fence = std::strtoull(line->c_str() + 16, nullptr, 10);
      if (line->starts_with("Content-Length:"))
        length = std::strtoull(line->c_str() + 15, nullptr, 10);
    }
    std::string body = lines.Buffer;
    while (body.size() < length) {
      char chunk[4096];
      const auto n = ::recv(fd, chunk, sizeof(chunk), 0);
      if (n <= 0)
        return;
      body.append(chunk, static_cast<std::size_t>(n));
    }
    note("platform: promote ", body, " fence ", fence,
         IsDown ? " (the platform is down: no answer)" : "");
    if (IsDown) {
      pauseMs(10000);
      return;
    }
    const auto at = body.find("\"id\":\"");
    const std::string id = body.substr(at + 6, body.find('"', at + 6) - at - 6);
    Group *subject = nullptr;
    for (auto *it : Groups)
      if (body.find("\"" + it->Service + "\"") != std::string::npos)
        subject = it;
    if (!subject)
      return;
    bool isStale = false;
    {
      const std::lock_guard lock(subject->Mutex);
      isStale = fence < subject->NewestFence;
      subject->NewestFence = std::max(subject->NewestFence, fence);
    }
    if (!isStale) {
      pauseMs(PromoteMs);
      subject->promote(id);
      Promoted();
    }
    sendAll(fd, cat("HTTP/1.1 ", isStale ? "409 Conflict" : "200 OK",
                    "\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}"));
  }

  static constexpr int PromoteMs = 300;
  std::vector<Group *> Groups;
};

// --- clients ---------------------------------------------------------------

struct Answer {
  /// DONE, an error's code, or "none" where the connection ended first.
  std::string Code = "none";
  std::string Signature;
  bool IsBroken = false;
};

class Client {
public:
  Client(std::string name, std::string database, int entry)
      : Name(std::move(name)), Database(std::move(database)), Entry(entry) {}
  ~Client() { close(); }
  bool connect() {
    close();
    Fd = connectTo(entryIp(Entry), FrontPort, 1000);
    if (Fd < 0)
      return false;
    Reader = Lines(Fd);
    sendAll(Fd, cat("CONNECT ", Database, " ", Name, "\r\n"));
    const auto line = Reader.next(2000);
    return line && line->starts_with("READY");
  }
  Answer ask(const std::string &text, std::string &id, int timeoutMs = 8000) {
    id = cat(Name, "x", ++Number);
    note("client ", Name, " sends ", id, " ", text, " to entry-", Entry);
    Answer answer;
    if (!sendAll(Fd, cat("QUERY ", id, " ", text, "\r\n")))
      answer.IsBroken = true;
    while (!answer.IsBroken) {
      const auto line = Reader.next(timeoutMs);
      if (!line) {
        answer.IsBroken = true;
        break;
      }
      if (line->starts_with("DONE ")) {
        answer.Code = "DONE";
        answer.Signature = line->substr(5);
      } else if (line->starts_with("ERROR ")) {
        answer.Code = line->substr(6, line->find(' ', 6) - 6);
      } else if (line->starts_with("READY ")) {
        break;
      }
    }
    note("client ", Name, " gets for ", id, ": ", answer.Code,
         answer.IsBroken ? " (the connection has ended)" : "");
    return answer;
  }
  bool sendRaw(const std::string &bytes) { return sendAll(Fd, bytes); }
  Lines &reader() { return Reader; }
  void close() {
    if (Fd >= 0)
      ::close(Fd);
    Fd = -1;
  }

private:
  std::string Name;
  std::string Database;
  int Entry;
  int Fd = -1;
  Lines Reader;
  int Number = 0;
};

/// What run.sh hands to a case.
struct Arguments {
  /// Where record.txt goes.
  std::string Record;
  /// A temporary folder for what the processes write.
  std::string Temporary;
  /// From the variable TROUBLE: false leaves the disruption out.
  bool IsTrouble = true;
};

inline std::optional<Arguments> readArguments(int argc, char **argv) {
  if (argc != 4)
    return std::nullopt;
  return Arguments{argv[1], argv[2], std::string(argv[3]) != "0"};
}

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

/// Ends the script at once, with its stand-ins' threads.
[[noreturn]] inline void finish(Fleet &fleet, int code, const char *keepLogs) {
  if (keepLogs)
    fleet.keepLogs(keepLogs);
  fleet.~Fleet();
  std::fflush(stdout);
  std::_Exit(code);
}

} // namespace review
