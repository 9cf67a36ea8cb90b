// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "settings/SettingsModule.h"

#include "base/NameTable.h"
#include "settings/internal/TableReader.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>

namespace stepledge::settings {

namespace {

constexpr std::size_t SecretBytes = 32;
constexpr Range TimeRangeMs{1, 3600000};
constexpr Range VmNumberRange{0, 4095};

constexpr auto AcknowledgeNames = std::to_array<NameEntry<AcknowledgeMode>>({
    {AcknowledgeMode::Majority, "majority"},
    {AcknowledgeMode::Primary, "primary"},
});
constexpr std::array<std::string_view, 4> LogLevels = {"debug", "info",
                                                       "warning", "error"};

constexpr std::array<std::string_view, 5> TlsModes = {
    "disable", "prefer", "require", "verify-ca", "verify-full"};

void readInstance(TableReader &reader, DatabaseSettings &database) {
  InstanceSettings instance;
  instance.Connections = 25;
  instance.Slots = 3;
  reader.requiredId("id", instance.Id);
  reader.requiredId("hall", instance.Hall);
  reader.requiredEndpoint("address", instance.Address);
  // NOTE: One connection is used for monitoring, so at least two are needed.
  reader.optionalNumber("connections", {2, 10000}, instance.Connections);
  reader.optionalNumber("slots", {1, 10000}, instance.Slots);
  for (const auto &it : database.Instances)
    if (it.Id == instance.Id)
      reader.fault("id", "is used twice in this database");
  database.Instances.push_back(instance);
}

void readDatabase(TableReader &reader, Settings &out) {
  DatabaseSettings database;
  reader.requiredId("id", database.Id);
  database.Name = database.Id.str();
  database.User = "stepledge";
  reader.optional("name", database.Name);
  reader.optional("user", database.User);
  reader.optional("password", database.Password);
  reader.optional("tls", database.Tls);
  if (std::find(TlsModes.begin(), TlsModes.end(), database.Tls) ==
      TlsModes.end())
    reader.fault("tls", "must be disable, prefer, require, verify-ca or "
                        "verify-full");
  std::string mode = "majority";
  reader.optional("acknowledge", mode);
  if (const auto value = valueIn(AcknowledgeNames, mode))
    database.Acknowledge = *value;
  else
    reader.fault("acknowledge", "must be \"majority\" or \"primary\"");
  reader.optional("read_max_age_ms", Range{0, 86400000}, database.ReadMaxAge);
  reader.tables("instances",
                [&](TableReader &inner) { readInstance(inner, database); });
  if (database.Instances.empty())
    reader.fault("instances", "at least one is required");
  for (const auto &it : out.Databases)
    if (it.Id == database.Id)
      reader.fault("id", "is used twice");
  out.Databases.push_back(std::move(database));
}

void readSessionKey(TableReader &reader, Settings &out) {
  SessionKey key;
  std::string secret;
  reader.optionalNumber("id", {1, 1000000}, key.Id);
  reader.required("secret_hex", secret);
  const bool isHex = std::all_of(secret.begin(), secret.end(),
                                 [](unsigned char c) { return isxdigit(c); });
  if (!isHex || secret.size() < 2 * SecretBytes)
    reader.fault("secret_hex", absl::StrCat("must be at least ",
                                            2 * SecretBytes, " hex digits"));
  else
    key.Secret = absl::HexStringToBytes(secret);
  if (key.Id == 0)
    reader.fault("id", "is missing");
  out.SessionKeys.push_back(key);
}

void readVm(TableReader &reader, Settings &out) {
  reader.requiredId("id", out.Vm);
  reader.requiredId("hall", out.Hall);
  reader.optionalNumber("number", VmNumberRange, out.VmNumber);
  reader.requiredEndpoint("callers", out.Callers);
  reader.optionalEndpoint("mesh", out.Mesh);
  reader.optional("data_folder", out.DataFolder);
  reader.optional("log_level", out.LogLevel);
  if (std::find(LogLevels.begin(), LogLevels.end(), out.LogLevel) ==
      LogLevels.end())
    reader.fault("log_level", "must be debug, info, warning or error");
}

void readDialect(TableReader &reader, DialectSettings &out) {
  reader.optional("observe", out.Observe);
  reader.optional("fence", out.Fence);
  reader.optional("promote", out.Promote);
  reader.optional("follow", out.Follow);
  reader.optional("ledger_create", out.LedgerCreate);
  reader.optional("ledger_insert", out.LedgerInsert);
  reader.optional("ledger_record", out.LedgerRecord);
  reader.optional("ledger_read", out.LedgerRead);
}

void readLimits(TableReader &reader, LimitSettings &out) {
  reader.optionalNumber("body_bytes", {256, 64 << 20}, out.BodyBytes);
  reader.optionalNumber("statement_bytes", {64, 16 << 20}, out.StatementBytes);
  reader.optionalNumber("parameters", {0, 32767}, out.Parameters);
  reader.optionalNumber("headers", {8, 1000}, out.Headers);
  reader.optionalNumber("key_bytes", {8, 1024}, out.KeyBytes);
  reader.optionalNumber("result_rows", {1, 10000000}, out.ResultRows);
  reader.optionalNumber("result_bytes", {256, 1 << 30}, out.ResultBytes);
  reader.optionalNumber("token_bytes", {256, 65536}, out.TokenBytes);
  reader.optionalNumber("tokens", {1, 256}, out.Tokens);
  reader.optionalNumber("queue", {1, 1000000}, out.Queue);
  reader.optionalNumber("transactions", {1, 10000}, out.Transactions);
  reader.optional("retry_share", out.RetryShare);
}

void readTiming(TableReader &reader, TimingSettings &out) {
  reader.optional("observe_ms", TimeRangeMs, out.Observe);
  reader.optional("silence_ms", TimeRangeMs, out.Silence);
  reader.optional("default_deadline_ms", TimeRangeMs, out.DefaultDeadline);
  reader.optional("longest_deadline_ms", TimeRangeMs, out.LongestDeadline);
  reader.optional("transaction_idle_ms", TimeRangeMs, out.TransactionIdle);
  reader.optional("transaction_total_ms", TimeRangeMs, out.TransactionTotal);
  reader.optional("primary_confirm_ms", TimeRangeMs, out.PrimaryConfirm);
  reader.optional("catch_up_ms", Range{0, 60000}, out.CatchUp);
  reader.optional("drain_notice_ms", Range{0, 600000}, out.DrainNotice);
  reader.optional("forward_limit_ms", TimeRangeMs, out.ForwardLimit);
  if (out.DefaultDeadline > out.LongestDeadline)
    reader.fault("default_deadline_ms", "must not exceed longest_deadline_ms");
  if (out.Silence < 2 * out.Observe)
    reader.fault("silence_ms", "must be at least twice observe_ms");
}

// NOTE: Two VMs with the same number could promote two instances in one term.
bool isNumberTaken(const Settings &settings, std::uint64_t number) {
  if (number == 0)
    return false;
  return number == settings.VmNumber ||
         std::any_of(
             settings.Peers.begin(), settings.Peers.end(),
             [number](const PeerSettings &it) { return it.Number == number; });
}

void readFailover(TableReader &reader, FailoverSettings &out) {
  reader.optional("enabled", out.Enabled);
  reader.optional("suspect_ms", TimeRangeMs, out.Suspect);
  reader.optional("stagger_ms", Range{0, 60000}, out.Stagger);
  reader.optional("rest_ms", Range{0, 3600000}, out.Rest);
  reader.optional("leave_grace_ms", TimeRangeMs, out.LeaveGrace);
  reader.optional("leave_hold_ms", TimeRangeMs, out.LeaveHold);
}

void readAll(TableReader &reader, Settings &out) {
  bool hasVm = false;
  reader.table("vm", [&](TableReader &inner) {
    hasVm = true;
    readVm(inner, out);
  });
  if (!hasVm)
    reader.fault("vm", "is missing");
  reader.tables("peers", [&](TableReader &inner) {
    PeerSettings peer;
    inner.requiredId("vm", peer.Vm);
    inner.requiredId("hall", peer.Hall);
    inner.requiredEndpoint("mesh", peer.Mesh);
    inner.optionalNumber("number", VmNumberRange, peer.Number);
    if (isNumberTaken(out, peer.Number))
      inner.fault("number", "is already used by another VM");
    out.Peers.push_back(std::move(peer));
  });
  reader.tables("session_keys",
                [&](TableReader &inner) { readSessionKey(inner, out); });
  if (out.SessionKeys.empty())
    reader.fault("session_keys", "at least one is required");
  reader.durations("distances_ms",
                   [&](const std::string &hall, Duration oneWay) {
                     out.Distances[HallId(hall)] = oneWay;
                   });
  reader.tables("databases",
                [&](TableReader &inner) { readDatabase(inner, out); });
  if (out.Databases.empty())
    reader.fault("databases", "at least one is required");
  reader.table("dialect",
               [&](TableReader &inner) { readDialect(inner, out.Dialect); });
  reader.table("failover",
               [&](TableReader &inner) { readFailover(inner, out.Failover); });
  reader.table("limits",
               [&](TableReader &inner) { readLimits(inner, out.Limits); });
  reader.table("timing",
               [&](TableReader &inner) { readTiming(inner, out.Timing); });
  if (!out.Peers.empty() && !out.Mesh.isSet())
    reader.fault("peers", "vm.mesh is required if there are peers");
}

} // namespace

SettingsReport parseSettings(std::string_view text) {
  SettingsReport report;
  try {
    const toml::table root = toml::parse(text);
    TableReader reader(root, "", report.Faults);
    readAll(reader, report.Checked);
    reader.reportUnreadKeys();
  } catch (const toml::parse_error &failure) {
    report.Faults.push_back(
        {failure.source().begin.line, std::string(failure.description())});
  }
  std::stable_sort(report.Faults.begin(), report.Faults.end(),
                   [](const SettingsFault &left, const SettingsFault &right) {
                     return left.Line < right.Line;
                   });
  return report;
}

SettingsReport loadSettings(const std::string &path) {
  std::ifstream in(path);
  if (!in) {
    SettingsReport report;
    report.Faults.push_back({0, "can't be read"});
    return report;
  }
  const std::string text(std::istreambuf_iterator<char>(in), {});
  return parseSettings(text);
}

std::string describeFaults(const std::string &path,
                           const std::vector<SettingsFault> &faults) {
  std::string out;
  for (const auto &it : faults)
    absl::StrAppend(&out, path, ":", it.Line, ": ", it.Text, "\n");
  return out;
}

} // namespace stepledge::settings
