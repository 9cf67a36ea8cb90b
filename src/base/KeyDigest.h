// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What stands for a client's key wherever it is compared or passed on:
/// whoever reads a VM's memory, messages or logs learns no key.

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
  /// Bytes; too many for two keys to meet by chance or by design.
  static constexpr std::size_t Size = 16;

  std::array<std::uint8_t, Size> Bytes{};
  auto operator<=>(const KeyDigest &) const = default;

  /// BLAKE2b of \p key. The time of a look-up by it says nothing of how near
  /// \p key is to a known one.
  static KeyDigest of(std::string_view key);

  std::string toBytes() const;
  static std::optional<KeyDigest> fromBytes(std::string_view bytes);
};

/// Overwrites \p secret, so that it can't be found in freed memory.
void wipe(std::string &secret);

} // namespace stepledge

#endif // STEPLEDGE_BASE_KEYDIGEST_H
