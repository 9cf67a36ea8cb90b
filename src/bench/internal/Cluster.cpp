// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "bench/internal/Cluster.h"

#include "bench/internal/CallerClient.h"

#include "absl/strings/str_cat.h"

#include <arpa/inet.h>
#include <libpq-fe.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <set>
#include <stdexcept>
#include <thread>

namespace stepledge::bench {

namespace {

constexpr const char *SessionSecret =
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
constexpr std::chrono::milliseconds ReadyCheck{20};

/// A socket that is closed with its owner.
class Socket {
public:
  Socket() : Fd(socket(AF_INET, SOCK_STREAM, 0)) {}
  ~Socket() { close(Fd); }
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;
  int fd() const { return Fd; }

private:
  int Fd;
};

/// A port that the system just had free. No two calls return the same one.
std::uint16_t freePort() {
  static std::set<std::uint16_t> given;
  for (;;) {
    const Socket it;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto *raw = reinterpret_cast<sockaddr *>(&address);
    if (bind(it.fd(), raw, length) != 0 ||
        getsockname(it.fd(), raw, &length) != 0)
      throw std::runtime_error("no free port");
    const auto port = ntohs(address.sin_port);
    if (given.insert(port).second)
      return port;
  }
}

struct ConnectionCloser {
  void operator()(PGconn *it) const { PQfinish(it); }
};
struct ResultCloser {
  void operator()(PGresult *it) const { PQclear(it); }
};

} // namespace

TrialPlaces placesBeside(const std::string &program) {
  const auto source =
      std::filesystem::weakly_canonical(program).parent_path().parent_path();
  const auto folder =
      std::filesystem::temp_directory_path() /
      absl::StrCat("stepledge-trial-", static_cast<long>(getpid()));
  return {(source / "daemon" / "stepledged").string(),
          (source / "standin" / "stepledge-standin").string(), folder.string()};
}

Cluster::Cluster(ClusterPlan plan, TrialPlaces places)
    : Plan(std::move(plan)), Places(std::move(places)) {
  std::filesystem::remove_all(Places.Folder);
  std::filesystem::create_directories(Places.Folder);
  for (const auto &it : Plan.Groups)
    planInstances(it);
  for (const auto &name : instanceNames())
    startInstance(name);
  for (int n = 0; n < Plan.Vms; ++n) {
    Vm vm;
    vm.Hall = hallOf(Index(n));
    vm.Name = absl::StrCat("entry-", n + 1);
    vm.Callers = freePort();
    vm.Mesh = freePort();
    vm.SettingsPath = absl::StrCat(Places.Folder, "/", vm.Name, ".toml");
    Vms.push_back(std::move(vm));
  }
  for (Index n = 0; n < Vms.size(); ++n) {
    writeSettings(n);
    startDaemon(static_cast<int>(n));
  }
}

Cluster::~Cluster() {
  for (auto &it : Vms)
    it.Process.reset();
  for (auto &[name, it] : Instances)
    it.Process.reset();
  std::error_code ec;
  std::filesystem::remove_all(Places.Folder, ec);
}

std::string Cluster::hallOf(Index n) const {
  return Plan.Halls[n % Plan.Halls.size()];
}

void Cluster::planInstances(const GroupPlan &group) {
  std::uint16_t first = 0;
  for (int n = 0; n < group.Instances; ++n) {
    const auto name = absl::StrCat(group.Database, "-", n + 1);
    Instance it;
    it.Hall = hallOf(Index(n));
    it.Port = freePort();
    it.ControlPort = freePort();
    const auto lag = Index(n) < group.LagMs.size() ? group.LagMs[Index(n)] : 0;
    it.Arguments = {"--port",         std::to_string(it.Port),
                    "--control-port", std::to_string(it.ControlPort),
                    "--data",         Places.Folder + "/" + name,
                    "--connections",  std::to_string(group.Connections),
                    "--slots",        std::to_string(group.Slots),
                    "--connect-ms",   std::to_string(group.ConnectMs),
                    "--service-ms",   std::to_string(group.ServiceMs),
                    "--lag-ms",       std::to_string(lag)};
    if (first == 0) {
      first = it.Port;
    } else {
      it.Arguments.insert(it.Arguments.end(),
                          {"--follow-address", "127.0.0.1", "--follow-port",
                           std::to_string(first)});
    }
    Instances.emplace(name, std::move(it));
  }
}

std::vector<std::string> Cluster::instanceNames() const {
  std::vector<std::string> out;
  out.reserve(Instances.size());
  for (const auto &[name, it] : Instances)
    out.push_back(name);
  return out;
}

void Cluster::startInstance(const std::string &name) {
  auto &it = Instances.at(name);
  it.Process = std::make_unique<ChildProcess>(
      Places.Standin, it.Arguments, Places.Folder + "/" + name + ".log");
}

void Cluster::startDaemon(int vm) {
  auto &it = Vms.at(Index(vm));
  it.Process = std::make_unique<ChildProcess>(
      Places.Daemon, std::vector<std::string>{"--settings", it.SettingsPath},
      Places.Folder + "/" + it.Name + ".log");
}

std::string Cluster::groupSettings(const GroupPlan &group) const {
  auto out =
      absl::StrCat("[[databases]]\nid = \"", group.Database,
                   "\"\ntls = \"disable\"\nacknowledge = \"", group.Acknowledge,
                   "\"\nread_max_age_ms = ", group.ReadMaxAgeMs, "\n");
  // NOTE: Each VM gets an equal part of each instance's connections.
  const int share = std::max(2, group.Connections / std::max(1, Plan.Vms));
  for (int n = 0; n < group.Instances; ++n) {
    const auto name = absl::StrCat(group.Database, "-", n + 1);
    const auto &it = Instances.at(name);
    absl::StrAppend(
        &out, "[[databases.instances]]\nid = \"", name, "\"\nhall = \"",
        it.Hall, "\"\naddress = \"127.0.0.1:", it.Port,
        "\"\nconnections = ", share, "\nslots = ", group.Slots, "\n");
  }
  return out;
}

void Cluster::writeSettings(Index vm) {
  const auto &self = Vms[vm];
  std::ofstream out(self.SettingsPath);
  out << "[vm]\nnumber = " << vm + 1 << "\nid = \"" << self.Name
      << "\"\nhall = \"" << self.Hall
      << "\"\ncallers = \"127.0.0.1:" << self.Callers
      << "\"\nmesh = \"127.0.0.1:" << self.Mesh << "\"\ndata_folder = \""
      << Places.Folder << "/" << self.Name << "\"\nlog_level = \""
      << Plan.LogLevel << "\"\n";
  for (const auto &it : Vms)
    if (it.Name != self.Name)
      out << "[[peers]]\nvm = \"" << it.Name << "\"\nhall = \"" << it.Hall
          << "\"\nnumber = " << 1 + (&it - Vms.data())
          << "\nmesh = \"127.0.0.1:" << it.Mesh << "\"\n";
  out << "[[session_keys]]\nid = 1\nsecret_hex = \"" << SessionSecret << "\"\n";
  for (const auto &it : Plan.Groups)
    out << groupSettings(it);
  out << Plan.ExtraSettings;
}

bool Cluster::waitReady(double seconds) {
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
  for (const auto &it : Vms) {
    CallerClient client(it.Callers);
    while (client.statusOf("/ready") != 200) {
      if (std::chrono::steady_clock::now() > end)
        return false;
      std::this_thread::sleep_for(ReadyCheck);
    }
  }
  return true;
}

std::string Cluster::control(const std::string &instance,
                             const std::string &sql) {
  const auto target = absl::StrCat(
      "hostaddr=127.0.0.1 port=", Instances.at(instance).ControlPort,
      " user=control dbname=control sslmode=disable gssencmode=disable "
      "connect_timeout=2");
  const std::unique_ptr<PGconn, ConnectionCloser> connection(
      PQconnectdb(target.c_str()));
  if (PQstatus(connection.get()) != CONNECTION_OK)
    return {};
  const std::unique_ptr<PGresult, ResultCloser> result(
      PQexec(connection.get(), sql.c_str()));
  if (PQresultStatus(result.get()) != PGRES_TUPLES_OK ||
      PQntuples(result.get()) == 0)
    return {};
  return PQgetvalue(result.get(), 0, 0);
}

void Cluster::fault(const std::string &instance, const std::string &name,
                    int value) {
  control(instance,
          absl::StrCat("SELECT standin('fault','", name, "',", value, ")"));
}

} // namespace stepledge::bench
