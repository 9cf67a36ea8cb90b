// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "peer/internal/FrameReader.h"

#include "peer/internal/FrameFormat.h"

namespace stepledge::peer {

namespace {

/// More spare room than this is given back once all is taken.
constexpr std::size_t MostSpareBytes = 64 << 10;

} // namespace

void FrameReader::add(std::string_view bytes) {
  Input.erase(0, Taken);
  Taken = 0;
  if (Input.empty() && Input.capacity() > MostSpareBytes)
    Input.shrink_to_fit();
  Input.append(bytes);
}

std::optional<std::string_view> FrameReader::fail() {
  IsBroken = true;
  return std::nullopt;
}

std::optional<std::string_view> FrameReader::next() {
  const std::size_t left = Input.size() - Taken;
  if (IsBroken || left < FrameFormat::WordBytes)
    return std::nullopt;
  const char *at = Input.data() + Taken;
  const std::uint32_t length = FrameFormat::wordAt(at);
  if (length > FrameFormat::MostMessageBytes)
    return fail();
  if (left - FrameFormat::WordBytes < length)
    return std::nullopt;
  Taken += FrameFormat::WordBytes + length;
  return std::string_view(at + FrameFormat::WordBytes, length);
}

} // namespace stepledge::peer
