// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "base/KeyDigest.h"

#include <sodium.h>

#include <algorithm>

namespace stepledge {

KeyDigest KeyDigest::of(std::string_view key) {
  static_assert(Size >= crypto_generichash_BYTES_MIN);
  // NOTE: All VMs must compute the same digest, so it depends on its purpose,
  // not on the process.
  static constexpr std::string_view Purpose = "stepledge access key";
  static_assert(Purpose.size() >= crypto_generichash_KEYBYTES_MIN);
  KeyDigest digest;
  crypto_generichash(
      digest.Bytes.data(), Size,
      reinterpret_cast<const unsigned char *>(key.data()), key.size(),
      reinterpret_cast<const unsigned char *>(Purpose.data()), Purpose.size());
  return digest;
}

std::string KeyDigest::toBytes() const { return {Bytes.begin(), Bytes.end()}; }

std::optional<KeyDigest> KeyDigest::fromBytes(std::string_view bytes) {
  if (bytes.size() != Size)
    return std::nullopt;
  KeyDigest digest;
  std::copy(bytes.begin(), bytes.end(), digest.Bytes.begin());
  return digest;
}

void wipe(std::string &secret) {
  sodium_memzero(secret.data(), secret.size());
  secret.clear();
}

} // namespace stepledge
