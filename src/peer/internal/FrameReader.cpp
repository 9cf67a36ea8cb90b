// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "peer/internal/FrameReader.h"

#include "peer/internal/FrameFormat.h"

namespace stepledge::peer {

namespace {

/// More spare room than this is given back once all is taken.
constexpr std::size_t MostSpareBytes = 64 << 10;
constexpr std::uint32_t MostFragmentBytes =
    FrameFormat::FragmentBytes + FrameFormat::WordBytes;

} // namespace

void FrameReader::add(std::string_view bytes) {
  Input.erase(0, Taken);
  Taken = 0;
  if (Input.empty() && Input.capacity() > MostSpareBytes)
    Input.shrink_to_fit();
  if (JoinedTotal == 0 && Joined.capacity() > MostSpareBytes)
    Joined = {};
  Input.append(bytes);
}

std::optional<std::string_view> FrameReader::fail() {
  IsBroken = true;
  return std::nullopt;
}

std::optional<std::string_view> FrameReader::next() {
  while (!IsBroken) {
    const std::size_t left = Input.size() - Taken;
    if (left < FrameFormat::WordBytes)
      return std::nullopt;
    const char *at = Input.data() + Taken;
    const std::uint32_t word = FrameFormat::wordAt(at);
    const std::uint32_t length = word & ~FrameFormat::FragmentFlag;
    const bool isFragment = length != word;
    if (length >
        (isFragment ? MostFragmentBytes : FrameFormat::MostMessageBytes))
      return fail();
    if (left - FrameFormat::WordBytes < length)
      return std::nullopt;
    Taken += FrameFormat::WordBytes + length;
    const std::string_view body(at + FrameFormat::WordBytes, length);
    if (!isFragment)
      return body;
    if (const auto whole = join(body))
      return whole;
  }
  return std::nullopt;
}

std::optional<std::string_view> FrameReader::join(std::string_view fragment) {
  if (JoinedTotal == 0) {
    if (fragment.size() < FrameFormat::WordBytes)
      return fail();
    Joined.clear();
    JoinedTotal = FrameFormat::wordAt(fragment.data());
    fragment.remove_prefix(FrameFormat::WordBytes);
    if (JoinedTotal > FrameFormat::MostMessageBytes)
      return fail();
  }
  if (fragment.empty() || fragment.size() > JoinedTotal - Joined.size())
    return fail();
  Joined.append(fragment);
  if (Joined.size() < JoinedTotal)
    return std::nullopt;
  JoinedTotal = 0;
  return Joined;
}

} // namespace stepledge::peer
