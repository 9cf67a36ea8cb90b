// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file One connection to an instance that speaks the line protocol.

#ifndef STEPLEDGE_GATEWAY_INTERNAL_INSTANCELINK_H
#define STEPLEDGE_GATEWAY_INTERNAL_INSTANCELINK_H

#include "gateway/ILineCodec.h"
#include "lines/LineSocket.h"

#include <functional>
#include <memory>
#include <string>

namespace stepledge::gateway {

class InstanceLink : public std::enable_shared_from_this<InstanceLink> {
public:
  struct Handlers {
    /// The answer to the connection itself.
    std::function<void(const proxy::StatementReply &)> Connected;
    std::function<void(proxy::StatementReply)> Answered;
    std::function<void()> Lost;
  };

  InstanceLink(asio::io_context &context, const ILineCodec &codec,
               Handlers handlers)
      : Socket(asio::ip::tcp::socket(context)), Codec(codec),
        On(std::move(handlers)), Replies(codec.makeReplyReader()) {}

  void open(const std::string &address, const std::string &service,
            const OrganisationId &organisation, const std::string &instance);
  void send(const std::string &lines);
  /// Nothing is told after this.
  void close();
  /// The same, and nothing that is on its way to the instance arrives.
  void abort();

private:
  void take();
  void lose();

  lines::LineSocket Socket;
  const ILineCodec &Codec;
  Handlers On;
  std::unique_ptr<IReplyReader> Replies;
  bool IsConnected = false;
  bool IsOver = false;
};

} // namespace stepledge::gateway

#endif // STEPLEDGE_GATEWAY_INTERNAL_INSTANCELINK_H
