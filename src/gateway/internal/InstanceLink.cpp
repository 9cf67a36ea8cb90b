// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "gateway/internal/InstanceLink.h"

#include "lines/HostPort.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace stepledge::gateway {

namespace {

/// Bytes that an instance's machine hasn't acknowledged by then are lost with
/// their connection, in ms.
constexpr unsigned DeadInstanceMs = 3000;

/// What a client that reads slowly can be given at once, see LineSocket: more
/// would only fill the memory.
constexpr std::size_t MostAnswerBytes = 4U << 20;

void watchForDeadInstance(asio::ip::tcp::socket &socket) {
  std::error_code ec;
  socket.set_option(asio::ip::tcp::no_delay(true), ec);
  const unsigned limit = DeadInstanceMs;
  // NOTE: without it the proxy's own limits end the connection a bit later.
  (void)::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &limit, sizeof(limit));
}

} // namespace

void InstanceLink::open(const std::string &address, const std::string &service,
                        const OrganisationId &organisation,
                        const std::string &instance) {
  const auto target = lines::splitAddress(address);
  const std::string greeting =
      Codec.formatConnect(service, organisation, instance);
  if (greeting.empty())
    return breakOffLater();
  std::error_code ec;
  const auto ip =
      asio::ip::make_address(target.ok() ? target->Ip : std::string(), ec);
  if (!target.ok() || ec) {
    asio::post(Socket.socket().get_executor(),
               [self = shared_from_this()] { self->lose(); });
    return;
  }
  Socket.socket().async_connect(
      asio::ip::tcp::endpoint(ip, target->Port),
      [self = shared_from_this(), greeting](std::error_code failure) {
        if (self->IsOver)
          return;
        if (failure)
          return self->lose();
        watchForDeadInstance(self->Socket.socket());
        self->Socket.write(greeting);
        self->Socket.read([weak = self->weak_from_this()](bool isGood) {
          const auto link = weak.lock();
          if (!link)
            return;
          link->take();
          if (link->Socket.end() == lines::SocketEnd::LineTooLong)
            link->breakOff();
          if (!isGood)
            link->lose();
        });
      });
}

void InstanceLink::send(const std::string &lines, std::size_t answers) {
  // NOTE: what is here already can't be the answer to what is sent now.
  IsBroken |= hasUnowedBytes();
  if (IsBroken)
    return;
  OwedAnswers += answers;
  Socket.write(lines);
}

bool InstanceLink::hasUnowedBytes() {
  std::error_code ec;
  return OwedAnswers == 0 &&
         (Socket.lines().hasRest() || Socket.socket().available(ec) > 0);
}

void InstanceLink::take() {
  while (!IsOver && !IsBroken && OwedAnswers > 0) {
    const auto line = Socket.lines().next();
    if (!line)
      return;
    takeLine(*line);
  }
  if (IsBroken || hasUnowedBytes())
    breakOff();
}

void InstanceLink::takeLine(const std::string &line) {
  AnswerBytes += line.size();
  if (AnswerBytes > MostAnswerBytes)
    return breakOff();
  auto reply = Replies->take(line);
  if (!reply)
    return;
  if (reply->IsMalformed)
    return breakOff();
  AnswerBytes = 0;
  --OwedAnswers;
  handUp(std::move(*reply));
}

void InstanceLink::breakOff() {
  IsBroken = true;
  if (IsOver)
    return;
  handUp(malformedReply());
  lose();
}

void InstanceLink::breakOffLater() {
  IsBroken = true;
  asio::post(Socket.socket().get_executor(),
             [self = shared_from_this()] { self->breakOff(); });
}

void InstanceLink::handUp(proxy::StatementReply reply) {
  if (std::exchange(IsConnected, true))
    On.Answered(std::move(reply));
  else
    On.Connected(reply);
}

void InstanceLink::lose() {
  if (std::exchange(IsOver, true))
    return;
  Socket.close();
  const auto refusal = Replies->takeUnfinished();
  auto handlers = std::exchange(On, {});
  if (!IsConnected && refusal)
    handlers.Connected(*refusal);
  else
    handlers.Lost();
}

void InstanceLink::close() {
  IsOver = true;
  Socket.close();
}

void InstanceLink::abort() {
  IsOver = true;
  Socket.abort();
}

} // namespace stepledge::gateway
