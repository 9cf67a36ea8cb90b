// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Makes whole messages of the bytes that a connection brings.

#ifndef STEPLEDGE_PEER_INTERNAL_FRAMEREADER_H
#define STEPLEDGE_PEER_INTERNAL_FRAMEREADER_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace stepledge::peer {

class FrameReader {
public:
  void add(std::string_view bytes);
  /// The next whole message, which stands until the next call; nothing where
  /// bytes are missing, or where they are no frame.
  std::optional<std::string_view> next();
  /// The bytes were no frame; no message comes any more.
  bool isBroken() const { return IsBroken; }

private:
  std::optional<std::string_view> fail();
  /// The message that \p fragment completes, if it does.
  std::optional<std::string_view> join(std::string_view fragment);

  std::string Input;
  /// How much of it was given out.
  std::size_t Taken = 0;
  /// The fragments of a large message so far.
  std::string Joined;
  /// The whole length of the message that they belong to; 0 between two.
  std::size_t JoinedTotal = 0;
  bool IsBroken = false;
};

} // namespace stepledge::peer

#endif // STEPLEDGE_PEER_INTERNAL_FRAMEREADER_H
