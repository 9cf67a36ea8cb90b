// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The bytes around each message on a connection between VMs: a word with
/// the length of what follows, in the order of the machine's own bytes.
///
/// With its flag set the word stands before a fragment of a large message; what
/// begins one has a second word, with the length of the whole message, before
/// its bytes. Small messages stand between fragments, another large one
/// doesn't.

#ifndef STEPLEDGE_PEER_INTERNAL_FRAMEFORMAT_H
#define STEPLEDGE_PEER_INTERNAL_FRAMEFORMAT_H

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>

namespace stepledge::peer {

struct FrameFormat {
  static constexpr std::size_t WordBytes = 4;
  /// Above the largest state that is sent.
  static constexpr std::uint32_t MostMessageBytes = 32U << 20;
  static constexpr std::uint32_t FragmentFlag = 1U << 31;
  /// Of a message's bytes in one fragment: 66 ms of a link with 250 KB/s, the
  /// narrowest between VMs, where heartbeats come each 100 ms.
  static constexpr std::uint32_t FragmentBytes = 16U << 10;

  static void appendWord(std::string &out, std::uint32_t word) {
    char bytes[WordBytes];
    std::memcpy(bytes, &word, WordBytes);
    out.append(bytes, WordBytes);
  }
  /// \p at has WordBytes.
  static std::uint32_t wordAt(const char *at) {
    std::uint32_t word = 0;
    std::memcpy(&word, at, WordBytes);
    return word;
  }
};

} // namespace stepledge::peer

#endif // STEPLEDGE_PEER_INTERNAL_FRAMEFORMAT_H
