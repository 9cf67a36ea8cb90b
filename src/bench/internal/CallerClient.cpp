// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "bench/internal/CallerClient.h"

#include "bench/internal/BenchClock.h"

#include <httplib.h>

namespace stepledge::bench {

namespace {

using nlohmann::json;

constexpr int AnswerSeconds = 35;

std::unique_ptr<httplib::Client> connectTo(std::uint16_t port) {
  auto client = std::make_unique<httplib::Client>("127.0.0.1", port);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_read_timeout(AnswerSeconds);
  client->set_connection_timeout(2);
  return client;
}

} // namespace

bool CallerReply::ran() const {
  return Body.is_object() && Body.value("class", "") == "ran";
}

bool CallerReply::notRun() const {
  return Body.is_object() && Body.value("class", "") == "not run";
}

int CallerReply::code() const {
  return Body.is_object() ? Body.value("code", -1) : -1;
}

bool CallerReply::fromReplica() const {
  return Body.is_object() && Body.value("from_replica", false);
}

std::string CallerReply::cell() const {
  if (!ran() || Body["rows"].empty() || !Body["rows"][0][0].is_string())
    return {};
  return Body["rows"][0][0].get<std::string>();
}

CallerClient::CallerClient(std::uint16_t port) : Http(connectTo(port)) {}
CallerClient::~CallerClient() = default;
CallerClient::CallerClient(CallerClient &&other) noexcept = default;

void CallerClient::moveTo(std::uint16_t port) { Http = connectTo(port); }

CallerReply CallerClient::post(const std::string &path, const json &body) {
  httplib::Headers headers;
  if (!Token.empty())
    headers.emplace("Stepledge-Session", Token);
  const double start = secondsNow();
  const auto result =
      Http->Post(path, headers, body.dump(), "application/json");
  CallerReply reply;
  reply.EndedAt = secondsNow();
  reply.Seconds = reply.EndedAt - start;
  if (!result)
    return reply;
  if (result->has_header("Stepledge-Session"))
    Token = result->get_header_value("Stepledge-Session");
  reply.Body = json::parse(result->body, nullptr, false);
  return reply;
}

CallerReply CallerClient::read(const std::string &database,
                               const std::string &sql,
                               const std::vector<std::string> &parameters,
                               int maxAgeMs, int deadlineMs) {
  json body = {{"statement", sql}, {"parameters", parameters}};
  if (maxAgeMs >= 0)
    body["max_age_ms"] = maxAgeMs;
  if (deadlineMs > 0)
    body["deadline_ms"] = deadlineMs;
  return post("/v1/databases/" + database + "/read", body);
}

CallerReply CallerClient::write(const std::string &database,
                                const std::string &sql,
                                const std::vector<std::string> &parameters,
                                const std::string &key, int deadlineMs) {
  json body = {{"statement", sql}, {"parameters", parameters}};
  if (!key.empty())
    body["idempotency_key"] = key;
  if (deadlineMs > 0)
    body["deadline_ms"] = deadlineMs;
  return post("/v1/databases/" + database + "/write", body);
}

std::string CallerClient::get(const std::string &path) {
  const auto result = Http->Get(path);
  return result ? result->body : std::string();
}

int CallerClient::statusOf(const std::string &path) {
  const auto result = Http->Get(path);
  return result ? result->status : 0;
}

} // namespace stepledge::bench
