// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "http/PercentDecoding.h"

#include <charconv>
#include <cstddef>
#include <system_error>

namespace stepledge::http {

std::optional<std::string> percentDecoded(std::string_view text) {
  constexpr std::size_t DigitCount = 2;
  constexpr int Hexadecimal = 16;
  std::string out;
  while (!text.empty()) {
    if (text.front() != '%') {
      out += text.front();
      text.remove_prefix(1);
      continue;
    }
    const auto digits = text.substr(1, DigitCount);
    unsigned char byte = 0;
    const char *end = digits.data() + digits.size();
    const auto read = std::from_chars(digits.data(), end, byte, Hexadecimal);
    if (digits.size() < DigitCount || read.ec != std::errc() || read.ptr != end)
      return std::nullopt;
    out += static_cast<char>(byte);
    text.remove_prefix(1 + DigitCount);
  }
  return out;
}

} // namespace stepledge::http
