// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "soak/AnyBytes.h"

#include <cstdint>
#include <iterator>
#include <string_view>

namespace stepledge::soak {

namespace {

using namespace std::string_view_literals;

constexpr std::size_t MostRandom = 24;
/// One field in so many is large.
constexpr std::uint64_t LargeOneIn = 40;
/// The largest has room for a line's words, which \c fillLine takes.
constexpr std::size_t Room = 512;
constexpr std::size_t LargeSizes[] = {1 << 14, 1 << 16, MessageLimit / 2,
                                      MessageLimit - Room};

/// What a reader that goes by less than CR LF, or by text, takes wrongly.
constexpr std::string_view Pieces[] = {
    "\n"sv,
    "\r"sv,
    "\n\r"sv,
    "\0"sv,
    "\xff\xfe"sv,
    "\xc3("sv,
    "\nQUERY x WRITE t f"sv,
    "\nQUERY - STATUS\n"sv,
    "\nQUIT\n"sv,
    "\nDONE s1\nREADY I 1.1\n"sv,
    "\nERROR BUSY i-0\nREADY I 1.1\n"sv,
    "\nROW r1\nDONE s1\nREADY T 9.9"sv,
    "\nCONNECT svc x\n"sv,
    " \n event=forged"sv,
    "\r\r"sv,
    " "sv,
};

std::string randomBytes(std::mt19937_64 &random) {
  std::string bytes(1 + random() % MostRandom, '\0');
  for (auto &it : bytes)
    it = static_cast<char>(random() % 256);
  return bytes;
}

std::string letters(std::mt19937_64 &random) {
  std::string bytes(random() % 8, '\0');
  for (auto &it : bytes)
    it = static_cast<char>('a' + random() % 26);
  return bytes;
}

} // namespace

void fillLine(std::string &field, std::size_t others) {
  if (field.size() >= MessageLimit - Room)
    field.resize(MessageLimit - others, 'l');
}

std::string drawTail(std::mt19937_64 &random, FieldHabits habits) {
  if (habits.DrawsLarge && random() % LargeOneIn == 0)
    return std::string(LargeSizes[random() % std::size(LargeSizes)], 'l');
  if (habits.DrawsAnyBytes && random() % 2 == 0)
    return anyBytes(random);
  return {};
}

std::string anyBytes(std::mt19937_64 &random) {
  std::string bytes = letters(random);
  for (auto n = random() % 3 + 1; n > 0; --n) {
    if (random() % 4 == 0)
      bytes += randomBytes(random);
    else
      bytes += Pieces[random() % std::size(Pieces)];
    bytes += letters(random);
  }
  if (bytes.front() == ' ')
    bytes.front() = 'b';
  for (std::size_t i = 1; i < bytes.size(); ++i)
    if (bytes[i - 1] == '\r' && bytes[i] == '\n')
      bytes[i] = '\r';
  return bytes;
}

} // namespace stepledge::soak
