// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "lines/LineReader.h"

namespace stepledge::lines {

namespace {

/// The most bytes of one message, without the end of its line.
constexpr std::size_t MostLineBytes = 1U << 20;
constexpr std::string_view LineEnd = "\r\n";

} // namespace

bool LineReader::add(std::string_view bytes) {
  if (Start > 0) {
    Buffer.erase(0, Start);
    Unfinished -= Start;
    Searched -= Start;
    for (auto &it : Ends)
      it -= Start;
    Start = 0;
  }
  Buffer.append(bytes);
  findEnds();
  return !IsTooLong;
}

void LineReader::findEnds() {
  while (!IsTooLong) {
    const auto end = Buffer.find(LineEnd, Searched);
    // NOTE: the last byte may be the CR of an end.
    const std::size_t known = Buffer.size() - (Buffer.ends_with('\r') ? 1 : 0);
    const bool isWhole = end != std::string::npos;
    IsTooLong = (isWhole ? end : known) - Unfinished > MostLineBytes;
    Searched = isWhole ? end + LineEnd.size() : known;
    if (!isWhole || IsTooLong)
      return;
    Ends.push_back(end);
    Unfinished = Searched;
  }
}

std::optional<std::string> LineReader::next() {
  if (Ends.empty())
    return std::nullopt;
  const std::size_t end = Ends.front();
  Ends.pop_front();
  std::string line = Buffer.substr(Start, end - Start);
  Start = end + LineEnd.size();
  return line;
}

} // namespace stepledge::lines
