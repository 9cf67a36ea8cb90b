// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "base/LogField.h"

#include <cstddef>

namespace stepledge {

namespace {

/// No valid name is longer.
constexpr std::size_t MaxFieldBytes = 255;
/// Holds a reason with all its figures.
constexpr std::size_t MaxTextBytes = 1024;

bool isPlain(char c) { return c > ' ' && c < 0x7f && c != '"' && c != '\\'; }

std::string escaped(std::string_view value, std::size_t maxBytes,
                    bool mayHoldBlanks) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string out;
  for (const char c : value.substr(0, maxBytes)) {
    if (isPlain(c) || (mayHoldBlanks && c == ' ')) {
      out += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    out += "\\x";
    out += Digits[byte >> 4U];
    out += Digits[byte & 0xfU];
  }
  if (value.size() > maxBytes)
    out += "...";
  return out;
}

} // namespace

std::string logField(std::string_view value) {
  return escaped(value, MaxFieldBytes, false);
}

std::string logText(std::string_view text) {
  return escaped(text, MaxTextBytes, true);
}

} // namespace stepledge
