// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "lines/LineReader.h"

namespace stepledge::lines {

namespace {

/// The most bytes of one message.
constexpr std::size_t MostLineBytes = 1U << 20;

} // namespace

bool LineReader::add(std::string_view bytes) {
  if (Start > 0) {
    Buffer.erase(0, Start);
    Start = 0;
  }
  Buffer.append(bytes);
  return Buffer.size() <= MostLineBytes;
}

std::optional<std::string> LineReader::next() {
  const auto end = Buffer.find('\n', Start);
  if (end == std::string::npos)
    return std::nullopt;
  std::string line = Buffer.substr(Start, end - Start);
  Start = end + 1;
  if (!line.empty() && line.back() == '\r')
    line.pop_back();
  return line;
}

} // namespace stepledge::lines
