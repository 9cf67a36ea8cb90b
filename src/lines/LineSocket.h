// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A TCP socket that reads lines and writes without being waited for.

#ifndef STEPLEDGE_LINES_LINESOCKET_H
#define STEPLEDGE_LINES_LINESOCKET_H

#include "lines/LineReader.h"

#include <asio.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace stepledge::lines {

/// Why no more can be read.
enum class SocketEnd {
  None,
  /// The far end has closed, or the connection broke.
  FarEnd,
  LineTooLong,
  /// The far end doesn't read, and too much waits for it.
  NotRead,
};

class LineSocket {
public:
  explicit LineSocket(asio::ip::tcp::socket socket)
      : Shared(std::make_shared<State>(std::move(socket))) {}
  ~LineSocket() { close(); }
  LineSocket(const LineSocket &) = delete;
  LineSocket &operator=(const LineSocket &) = delete;

  asio::ip::tcp::socket &socket() { return Shared->Socket; }
  LineReader &lines() { return Shared->Lines; }
  /// Calls \p onBytes after each read, with false at the end or a fault.
  void read(std::function<void(bool)> onBytes);
  /// Reads no further until resume(); a read that is under way may still come.
  void hold() { Shared->IsHeld = true; }
  void resume();
  /// Reads no further while more than \p bytes wait to be sent, so that a far
  /// end that doesn't read is not served on.
  void limitUnsent(std::size_t bytes) { Shared->MaxUnsentBytes = bytes; }
  void write(const std::string &bytes);
  /// Ends the connection once all that was written is sent.
  void finish();
  void close();
  /// Closes so that what the far end hasn't received yet never reaches it.
  void abort();
  bool isOpen() const { return !Shared->IsClosed; }
  /// Whether something that was written isn't sent yet.
  bool hasUnsent() const { return isOpen() && !Shared->Writing.empty(); }
  SocketEnd end() const { return Shared->End; }

private:
  struct State {
    explicit State(asio::ip::tcp::socket socket) : Socket(std::move(socket)) {}
    asio::ip::tcp::socket Socket;
    LineReader Lines;
    std::array<char, 4096> Chunk{};
    std::string Waiting;
    std::string Writing;
    std::function<void(bool)> OnBytes;
    SocketEnd End = SocketEnd::None;
    std::size_t MaxUnsentBytes = SIZE_MAX;
    bool IsHeld = false;
    /// No read is under way, since the socket was held.
    bool IsReadDue = false;
    bool IsFinishing = false;
    bool IsClosed = false;
  };

  static void readMore(const std::shared_ptr<State> &state);
  /// Reads on if nothing holds the socket.
  static void readIfFree(const std::shared_ptr<State> &state);
  static void writeMore(const std::shared_ptr<State> &state);
  static void closeState(State &state);

  std::shared_ptr<State> Shared;
};

} // namespace stepledge::lines

#endif // STEPLEDGE_LINES_LINESOCKET_H
