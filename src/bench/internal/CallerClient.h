// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A caller with a session, over HTTP.

#ifndef STEPLEDGE_BENCH_INTERNAL_CALLERCLIENT_H
#define STEPLEDGE_BENCH_INTERNAL_CALLERCLIENT_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace httplib {
class Client;
} // namespace httplib

namespace stepledge::bench {

/// What came back; Body is null where nothing did.
struct CallerReply {
  nlohmann::json Body;
  /// The reading of the local clock when it came, in seconds.
  double EndedAt = 0;
  double Seconds = 0;

  bool ran() const;
  bool notRun() const;
  int code() const;
  bool fromReplica() const;
  /// The first cell, or empty.
  std::string cell() const;
};

class CallerClient {
public:
  explicit CallerClient(std::uint16_t port);
  ~CallerClient();
  CallerClient(CallerClient &&other) noexcept;

  /// Goes on with the same session at another VM.
  void moveTo(std::uint16_t port);

  CallerReply read(const std::string &database, const std::string &sql,
                   const std::vector<std::string> &parameters = {},
                   int maxAgeMs = -1, int deadlineMs = 0);
  CallerReply write(const std::string &database, const std::string &sql,
                    const std::vector<std::string> &parameters = {},
                    const std::string &key = "", int deadlineMs = 0);
  CallerReply post(const std::string &path, const nlohmann::json &body);
  /// The body as text; empty where nothing came.
  std::string get(const std::string &path);
  int statusOf(const std::string &path);

  const std::string &session() const { return Token; }
  void setSession(std::string token) { Token = std::move(token); }

private:
  std::unique_ptr<httplib::Client> Http;
  std::string Token;
};

} // namespace stepledge::bench

#endif // STEPLEDGE_BENCH_INTERNAL_CALLERCLIENT_H
