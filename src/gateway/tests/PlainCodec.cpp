// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "gateway/tests/PlainCodec.h"

#include "absl/strings/numbers.h"

#include <string>
#include <utility>
#include <vector>

namespace stepledge::gateway::tests {

namespace {

class PlainReader : public IReplyReader {
public:
  std::optional<proxy::StatementReply> take(const std::string &line) override {
    proxy::StatementReply reply;
    if (IsBroken)
      return std::nullopt;
    if (line == "nonsense") {
      IsBroken = true;
      return malformedReply();
    }
    if (line.starts_with("row ")) {
      Rows.push_back(line.substr(4));
      return std::nullopt;
    }
    reply.Rows = std::exchange(Rows, {});
    if (line == "gone") {
      Refusal = reply;
      Refusal->Code = proxy::ReplyCode::TooManyConnections;
      return std::nullopt;
    }
    if (line == "full")
      reply.Code = proxy::ReplyCode::Busy;
    else if (line != "ok")
      reply.Signature = line;
    return reply;
  }
  std::optional<proxy::StatementReply> takeUnfinished() override {
    return std::exchange(Refusal, std::nullopt);
  }

private:
  std::vector<std::string> Rows;
  bool IsBroken = false;
  std::optional<proxy::StatementReply> Refusal;
};

/// What follows \p word in \p line, if it begins with it.
std::optional<std::string> behind(const std::string &line,
                                  const std::string &word) {
  if (!line.starts_with(word + " "))
    return std::nullopt;
  return line.substr(word.size() + 1);
}

} // namespace

ClientCall PlainCodec::parseClientLine(const std::string &line) const {
  if (const auto database = behind(line, "connect"))
    return ConnectCall{*database, {}};
  if (line == "quit")
    return QuitCall{};
  const auto text = behind(line, "write");
  if (!text)
    return UnknownCall{};
  proxy::ClientStatement statement;
  statement.Id = *text;
  statement.Kind = proxy::StatementKind::Write;
  statement.Text = *text;
  return statement;
}

std::string PlainCodec::formatReply(const proxy::StatementReply &reply) const {
  return std::string(nameOf(reply.Code)) + " " + reply.Signature + "\r\n";
}

std::string
PlainCodec::formatRejected(const proxy::StatementReply &reply) const {
  return "rejected " + reply.Detail + "\r\n";
}

std::string PlainCodec::formatConnect(const std::string &service,
                                      const OrganisationId &organisation,
                                      const std::string &instance) const {
  if (service.find(' ') != std::string::npos)
    return {};
  const std::string user = organisation.empty() ? "" : " " + organisation.str();
  return "hello " + service + user + " " + instance + "\r\n";
}

std::string
PlainCodec::formatCommand(const proxy::InstanceCommand &command) const {
  if (command.Text == "unsendable")
    return {};
  if (command.Kind == proxy::CommandKind::ClientText)
    return "run " + command.Text + "\r\n";
  return command.Kind == proxy::CommandKind::Rollback ? "undo\r\n"
                                                      : "begin\r\n";
}

std::unique_ptr<IReplyReader> PlainCodec::makeReplyReader() const {
  return std::make_unique<PlainReader>();
}

std::optional<control::InstanceStatus>
PlainCodec::parseStatus(const proxy::StatementReply &reply) const {
  const std::string word = "replica ";
  control::InstanceStatus status;
  if (reply.Code != proxy::ReplyCode::Success || reply.Rows.size() != 1 ||
      !reply.Rows.front().starts_with(word) ||
      !absl::SimpleAtoi(reply.Rows.front().substr(word.size()),
                        &status.Received.Position.Offset))
    return std::nullopt;
  return status;
}

std::string PlainCodec::formatDemote(Term term) const {
  return "demote " + std::to_string(term.Number) + "\r\n";
}

std::string PlainCodec::formatPause(Term term) const {
  return "pause " + std::to_string(term.Number) + "\r\n";
}

} // namespace stepledge::gateway::tests
