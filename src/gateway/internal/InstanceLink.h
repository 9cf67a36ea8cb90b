// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file One connection to an instance that speaks the line protocol.

#ifndef STEPLEDGE_GATEWAY_INTERNAL_INSTANCELINK_H
#define STEPLEDGE_GATEWAY_INTERNAL_INSTANCELINK_H

#include "gateway/ILineCodec.h"
#include "lines/LineSocket.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace stepledge::gateway {

class InstanceLink : public std::enable_shared_from_this<InstanceLink> {
public:
  struct Handlers {
    /// The answer to the connection itself.
    std::function<void(const proxy::StatementReply &)> Connected;
    /// An answer, or a malformed reply for what can't be one: the connection is
    /// lost with it, and Connected tells it before the first answer.
    std::function<void(proxy::StatementReply)> Answered;
    std::function<void()> Lost;
  };

  InstanceLink(asio::io_context &context, const ILineCodec &codec,
               Handlers handlers)
      : Socket(asio::ip::tcp::socket(context)), Codec(codec),
        On(std::move(handlers)), Replies(codec.makeReplyReader()) {}

  void open(const std::string &address, const std::string &service,
            const OrganisationId &organisation, const std::string &instance);
  /// Sends \p lines, which get \p answers answers.
  void send(const std::string &lines, std::size_t answers);
  /// Something can't be sent: later, the connection is told as broken and lost.
  void breakOffLater();
  /// Nothing is told after this.
  void close();
  /// The same, and nothing that is on its way to the instance arrives.
  void abort();

private:
  void take();
  /// Takes a line that an answer is owed for.
  void takeLine(const std::string &line);
  /// What came is no answer: tells so, and gives the connection up.
  void breakOff();
  void handUp(proxy::StatementReply reply);
  /// Whether bytes have come that no answer is owed for.
  bool hasUnowedBytes();
  void lose();

  lines::LineSocket Socket;
  const ILineCodec &Codec;
  Handlers On;
  std::unique_ptr<IReplyReader> Replies;
  /// The answers that are still to come: one for the connection itself, one for
  /// each command sent.
  std::size_t OwedAnswers = 1;
  /// The bytes of the answer that is coming.
  std::size_t AnswerBytes = 0;
  bool IsConnected = false;
  /// Something that came is no answer; nothing is sent any more.
  bool IsBroken = false;
  bool IsOver = false;
};

} // namespace stepledge::gateway

#endif // STEPLEDGE_GATEWAY_INTERNAL_INSTANCELINK_H
