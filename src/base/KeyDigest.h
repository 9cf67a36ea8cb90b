// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The digest of a client's access key. It replaces the key in all
/// comparisons and messages, so that a VM's memory, messages and logs disclose
/// no key.

#ifndef STEPLEDGE_BASE_KEYDIGEST_H
#define STEPLEDGE_BASE_KEYDIGEST_H

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace stepledge {

struct KeyDigest {
  /// In bytes; large enough to exclude collisions by chance or by design.
  static constexpr std::size_t Size = 16;

  std::array<std::uint8_t, Size> Bytes{};
  auto operator<=>(const KeyDigest &) const = default;

  /// BLAKE2b of \p key. The time of a look-up by digest does not disclose how
  /// close \p key is to a known one.
  static KeyDigest of(std::string_view key);

  std::string toBytes() const;
  static std::optional<KeyDigest> fromBytes(std::string_view bytes);
};

/// Overwrites \p secret, so that it can't be found in freed memory.
void wipe(std::string &secret);

} // namespace stepledge

#endif // STEPLEDGE_BASE_KEYDIGEST_H
