// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "base/KeyDigest.h"

#include <doctest/doctest.h>

namespace stepledge {

TEST_CASE("KeyDigest_IsTheSameForTheSameKeyOnly") {
  CHECK(KeyDigest::of("a-key") == KeyDigest::of("a-key"));
  CHECK(KeyDigest::of("a-key") != KeyDigest::of("a-kez"));
  CHECK(KeyDigest::of("") != KeyDigest::of("a-key"));
}

TEST_CASE("KeyDigest_IsReadBackFromItsBytesOnly") {
  const auto digest = KeyDigest::of("a-key");
  CHECK(KeyDigest::fromBytes(digest.toBytes()) == digest);
  CHECK(digest.toBytes().find("a-key") == std::string::npos);
  CHECK_FALSE(KeyDigest::fromBytes("short"));
}

TEST_CASE("KeyDigest_WipeClearsTheSecret") {
  std::string secret = "a-key";
  wipe(secret);
  CHECK(secret.empty());
}

} // namespace stepledge
