// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The checked settings of one process.

#ifndef STEPLEDGE_SETTINGS_TYPES_SETTINGS_H
#define STEPLEDGE_SETTINGS_TYPES_SETTINGS_H

#include "base/types/Ids.h"
#include "base/types/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace stepledge::settings {

/// An IP address and a port.
struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  bool isSet() const { return Port != 0; }
  auto operator<=>(const Endpoint &) const = default;
};

/// Whose confirmation a write waits for before it is acknowledged.
enum class AcknowledgeMode {
  /// A majority of the group's instances; no acknowledged write is lost.
  Majority,
  /// The primary alone; a loss of the primary may undo acknowledged writes.
  Primary,
};

struct InstanceSettings {
  InstanceId Id;
  HallId Hall;
  Endpoint Address;
  /// Maximum connections of this process, including the monitoring one.
  int Connections = 0;
  /// Maximum statements of this process in flight.
  int Slots = 0;
};

struct DatabaseSettings {
  DatabaseId Id;
  /// Name and user of the database on the instances.
  std::string Name;
  std::string User;
  std::string Password;
  /// libpq's sslmode.
  std::string Tls = "prefer";
  AcknowledgeMode Acknowledge = AcknowledgeMode::Majority;
  /// Maximum age of data for a read that states none; 0 requires the primary's
  /// current data.
  Duration ReadMaxAge{0};
  std::vector<InstanceSettings> Instances;
};

/// The SQL texts that observe and control a site's database group.
struct DialectSettings {
  /// Returns one row: role, term, log_term, durable, applied, leaving, history.
  std::string Observe = "SELECT standin('role') AS role, standin('term') AS "
                        "term, standin('log_term') AS log_term, "
                        "standin('durable') AS durable, standin('applied') AS "
                        "applied, standin('leaving') AS leaving, "
                        "standin('history') AS history";
  std::string Fence = "SELECT standin('fence', $1)";
  std::string Promote = "SELECT standin('promote', $1)";
  std::string Follow = "SELECT standin('follow', $1, $2, $3)";
  std::string LedgerCreate =
      "CREATE TABLE IF NOT EXISTS stepledge_request (key TEXT PRIMARY KEY, "
      "digest TEXT NOT NULL, result TEXT)";
  std::string LedgerInsert =
      "INSERT INTO stepledge_request (key, digest) VALUES ($1, $2)";
  std::string LedgerRecord =
      "UPDATE stepledge_request SET result = $2 WHERE key = $1";
  std::string LedgerRead =
      "SELECT digest, result FROM stepledge_request WHERE key = $1";
};

/// Limits of one request and of the queue.
struct LimitSettings {
  std::size_t BodyBytes = 256 * 1024;
  std::size_t StatementBytes = 64 * 1024;
  std::size_t Parameters = 256;
  std::size_t Headers = 64;
  std::size_t KeyBytes = 128;
  std::size_t ResultRows = 10000;
  std::size_t ResultBytes = 4 * 1024 * 1024;
  std::size_t TokenBytes = 4096;
  std::size_t Tokens = 16;
  /// Waiting requests per database and class.
  std::size_t Queue = 256;
  std::size_t Transactions = 8;
  /// Maximum share of retries among requests.
  double RetryShare = 0.1;
};

struct TimingSettings {
  Duration Observe = milliseconds(100);
  /// An instance that has not answered for this long is not chosen.
  Duration Silence = milliseconds(600);
  Duration DefaultDeadline = milliseconds(2000);
  Duration LongestDeadline = milliseconds(30000);
  Duration TransactionIdle = milliseconds(5000);
  Duration TransactionTotal = milliseconds(30000);
  /// Maximum age of a majority's confirmation of the primary for a read of
  /// current data.
  Duration PrimaryConfirm = milliseconds(1000);
  /// How long a read may wait for a replica to catch up.
  Duration CatchUp = milliseconds(50);
  /// From the stop signal until the listener is closed, for the load balancer.
  Duration DrainNotice = milliseconds(1000);
  Duration ForwardLimit = milliseconds(5000);
};

struct SessionKey {
  std::uint32_t Id = 0;
  /// At least 32 bytes.
  std::string Secret;
};

struct PeerSettings {
  VmId Vm;
  HallId Hall;
  Endpoint Mesh;
  /// The VmNumber of that VM, see Settings.
  std::uint64_t Number = 0;
};

struct FailoverSettings {
  bool Enabled = true;
  /// A primary that has not answered for this long is suspected.
  Duration Suspect = milliseconds(250);
  /// VMs act one after another with this delay, so that usually one does.
  Duration Stagger = milliseconds(60);
  /// Minimum time from a replacement until this VM begins the next one.
  Duration Rest = milliseconds(3000);
  /// A leaving primary opens no new transactions, and still takes writes and
  /// reads for this long.
  Duration LeaveGrace = milliseconds(1500);
  /// After that, new work waits for this long, so that running work can end
  /// before another instance is promoted.
  Duration LeaveHold = milliseconds(150);
};

struct Settings {
  VmId Vm;
  /// The unique number of this VM, from 1; the VM issues the terms that leave
  /// it as remainder. 0: the VM never replaces a primary.
  std::uint64_t VmNumber = 0;
  HallId Hall;
  std::string DataFolder;
  Endpoint Callers;
  Endpoint Mesh;
  std::vector<PeerSettings> Peers;
  /// The first key signs; all are accepted.
  std::vector<SessionKey> SessionKeys;
  /// One-way time from this VM's hall; a hall that is not listed counts as far.
  std::map<HallId, Duration> Distances;
  std::vector<DatabaseSettings> Databases;
  DialectSettings Dialect;
  FailoverSettings Failover;
  LimitSettings Limits;
  TimingSettings Timing;
  std::string LogLevel = "info";
};

} // namespace stepledge::settings

#endif // STEPLEDGE_SETTINGS_TYPES_SETTINGS_H
