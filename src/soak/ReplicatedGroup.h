// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A group of asynchronously replicated instances in memory, and the
/// judge of a soak: it holds what callers sent and were told against what the
/// instances ran. It shares nothing with the product.

#ifndef STEPLEDGE_SOAK_REPLICATEDGROUP_H
#define STEPLEDGE_SOAK_REPLICATEDGROUP_H

#include "soak/AnyBytes.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace stepledge::soak {

using SoakClock = std::chrono::steady_clock;

/// A place in the group's log: term, then number.
using Place = std::pair<std::uint64_t, std::uint64_t>;

enum class ReadRule { Current, Bounded, Own };

/// A caller's statement, told to the judge before it is sent.
struct SentStatement {
  std::string Text;
  std::uint64_t Caller = 0;
  bool IsWrite = false;
  /// What the session holds.
  std::map<std::string, std::string> Values;
  /// For an execution, the shape that the caller prepared.
  std::string Shape;
  /// The commit that a read must see.
  Place Needed{};
};

/// Ends a line, so that no row can hold it.
constexpr const char *RowEnd = "\r\n";

enum class RunCode { Done, Busy, Lagging, ReadOnly, UnknownName, Malformed };

struct RunResult {
  RunCode Code = RunCode::Done;
  std::string Signature;
  /// Several rows have \c RowEnd between them.
  std::string Row;
};

/// What an instance knows of one connection.
struct ServerSession {
  std::size_t Instance = 0;
  bool IsOpen = false;
  bool HasFailed = false;
  bool IsReadOnly = false;
  std::uint64_t BegunInTerm = 0;
  std::uint64_t Owner = 0;
  std::map<std::string, std::string> Values;
  std::map<std::string, std::string> Prepared;
  std::vector<std::string> Writes;
};

class ReplicatedGroup {
public:
  ReplicatedGroup(std::size_t count, std::uint64_t seed);

  // Instances.
  void advance(SoakClock::time_point now);
  RunResult begin(ServerSession &session, bool isReadOnly, Place minimum);
  RunResult rollback(ServerSession &session);
  RunResult commit(ServerSession &session, const std::string &id);
  /// A read or write by its text, or by the name of a prepared shape.
  RunResult run(ServerSession &session, const std::string &id,
                const std::string &text, const std::string &preparedName,
                Place minimum);
  Place positionOf(std::size_t instance);
  std::uint64_t termOf();
  bool isLead(std::size_t instance);
  std::size_t lead();
  void promote(std::size_t instance);
  void setLag(std::size_t instance, std::chrono::milliseconds lag);
  /// From now on reads get up to three rows that are drawn so.
  void drawRows(FieldHabits habits);

  // Callers.
  void willSend(const std::string &id, SentStatement statement);
  /// The place that a read sent now must see.
  Place needed(ReadRule rule, std::uint64_t caller,
               std::chrono::milliseconds staleness);
  /// The caller was told that these writes are kept.
  void acknowledged(std::uint64_t caller, const std::vector<std::string> &ids);
  /// The caller was told that nothing of these is kept.
  void promised(const std::vector<std::string> &ids);
  /// A success for \p id came with \p signature and \p row.
  void answered(const std::string &id, const std::string &signature,
                const std::string &row);
  void report(const std::string &fault);
  /// How often each kind of fault was found.
  std::map<std::string, int> faultCounts();
  /// Looks at the whole history; empty if all promises were kept.
  std::vector<std::string> faults();

private:
  struct Commit {
    Place At;
    std::vector<std::string> Writes;
    SoakClock::time_point Time;
  };
  struct Member {
    std::chrono::milliseconds Lag{30};
    std::size_t Held = 0;
  };
  struct Ack {
    SoakClock::time_point Time;
    Place At;
  };

  RunResult refuse(ServerSession &session, RunCode code);
  Place placeAt(std::size_t held) const;
  /// \p place, less what promotions have rolled back.
  Place kept(Place place) const;
  void checkSession(const ServerSession &session, const std::string &id,
                    const SentStatement &sent);
  void keep(ServerSession &session, std::vector<std::string> writes);
  void fault(const std::string &text);
  std::string nextRows();

  std::mutex Mutex;
  std::mt19937_64 Random;
  std::vector<Member> Members;
  std::size_t Lead = 0;
  std::uint64_t Term = 1;
  std::vector<Commit> History;
  /// By term, where the history was cut when the next term began.
  std::map<std::uint64_t, Place> EndOf;
  std::map<std::string, SentStatement> Sent;
  /// The row of each run by its signature. A read may run at two instances, as
  /// when the first is slow, and the client gets either answer; a write that
  /// is kept twice is a fault of its own.
  std::map<std::string, std::map<std::string, std::string>> Signed;
  std::vector<Ack> Acks;
  std::map<std::uint64_t, Place> OwnAcks;
  std::set<std::string> Promised;
  std::vector<std::string> Faults;
  std::map<std::string, int> Counts;
  std::optional<FieldHabits> Rows;
};

} // namespace stepledge::soak

#endif // STEPLEDGE_SOAK_REPLICATEDGROUP_H
