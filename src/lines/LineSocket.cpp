// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "lines/LineSocket.h"

#include <utility>

namespace stepledge::lines {

namespace {

/// What may wait for a far end that is slow to read.
constexpr std::size_t MostWaitingBytes = 4U << 20;

} // namespace

void LineSocket::read(std::function<void(bool)> onBytes) {
  Shared->OnBytes = std::move(onBytes);
  readMore(Shared);
}

void LineSocket::readMore(const std::shared_ptr<State> &state) {
  state->Socket.async_read_some(
      asio::buffer(state->Chunk), [state](std::error_code ec, std::size_t n) {
        if (state->IsClosed)
          return;
        if (ec && state->End == SocketEnd::None)
          state->End = SocketEnd::FarEnd;
        else if (!ec &&
                 !state->Lines.add(std::string_view(state->Chunk.data(), n)))
          state->End = SocketEnd::LineTooLong;
        const bool isGood = state->End == SocketEnd::None;
        // NOTE: the handler may close the socket, and drop itself with it.
        const auto handler = state->OnBytes;
        handler(isGood);
        state->IsReadDue = isGood;
        readIfFree(state);
      });
}

void LineSocket::readIfFree(const std::shared_ptr<State> &state) {
  const bool isFull = state->Waiting.size() > state->MaxUnsentBytes;
  if (state->IsClosed || state->IsHeld || isFull ||
      !std::exchange(state->IsReadDue, false))
    return;
  readMore(state);
}

void LineSocket::resume() {
  Shared->IsHeld = false;
  readIfFree(Shared);
}

void LineSocket::write(const std::string &bytes) {
  auto &state = *Shared;
  if (state.IsClosed || state.IsFinishing)
    return;
  state.Waiting += bytes;
  if (state.Waiting.size() > MostWaitingBytes) {
    // The pending read then fails, and its handler hears of the loss.
    state.End = SocketEnd::NotRead;
    std::error_code ec;
    state.Socket.shutdown(asio::ip::tcp::socket::shutdown_both, ec);
    return;
  }
  if (state.Writing.empty())
    writeMore(Shared);
}

void LineSocket::writeMore(const std::shared_ptr<State> &state) {
  state->Writing = std::exchange(state->Waiting, {});
  asio::async_write(state->Socket, asio::buffer(state->Writing),
                    [state](std::error_code ec, std::size_t) {
                      state->Writing.clear();
                      if (state->IsClosed)
                        return;
                      // NOTE: nothing more is written, and only a read tells
                      // the owner of the loss.
                      if (ec) {
                        state->IsFinishing = true;
                        state->Waiting.clear();
                      }
                      if (!state->Waiting.empty())
                        writeMore(state);
                      readIfFree(state);
                      if (!ec && state->Writing.empty() && state->IsFinishing)
                        state->Socket.shutdown(
                            asio::ip::tcp::socket::shutdown_send, ec);
                    });
}

void LineSocket::finish() {
  auto &state = *Shared;
  if (state.IsClosed || std::exchange(state.IsFinishing, true))
    return;
  if (!state.Writing.empty())
    return;
  std::error_code ec;
  state.Socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
}

void LineSocket::close() { closeState(*Shared); }

void LineSocket::abort() {
  std::error_code ec;
  // NOTE: a socket that isn't connected has nothing on its way.
  Shared->Socket.set_option(asio::socket_base::linger(true, 0), ec);
  close();
}

void LineSocket::closeState(State &state) {
  if (std::exchange(state.IsClosed, true))
    return;
  std::error_code ec;
  state.Socket.close(ec);
  state.OnBytes = {};
}

} // namespace stepledge::lines
