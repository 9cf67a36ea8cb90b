// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "standin/internal/WireMessages.h"

#include <algorithm>

namespace stepledge::standin {

namespace {

constexpr int TextType = 25;

void appendBig(std::string &out, std::uint32_t n, int width) {
  for (int shift = (width - 1) * 8; shift >= 0; shift -= 8)
    out.push_back(static_cast<char>((n >> shift) & 0xff));
}

} // namespace

std::string_view WireReader::bytes(std::size_t n) {
  n = std::min(n, Rest.size());
  auto head = Rest.substr(0, n);
  Rest.remove_prefix(n);
  return head;
}

std::int32_t WireReader::int32() {
  std::uint32_t n = 0;
  for (char c : bytes(4))
    n = (n << 8) | static_cast<unsigned char>(c);
  return static_cast<std::int32_t>(n);
}

std::int16_t WireReader::int16() {
  std::uint16_t n = 0;
  for (char c : bytes(2))
    n = static_cast<std::uint16_t>((n << 8) | static_cast<unsigned char>(c));
  return static_cast<std::int16_t>(n);
}

std::string_view WireReader::string() {
  const auto end = std::min(Rest.find('\0'), Rest.size());
  auto text = bytes(end);
  bytes(1);
  return text;
}

WireMessage &WireMessage::int32(std::int32_t n) {
  appendBig(Bytes, static_cast<std::uint32_t>(n), 4);
  return *this;
}

WireMessage &WireMessage::int16(std::int16_t n) {
  appendBig(Bytes, static_cast<std::uint16_t>(n), 2);
  return *this;
}

WireMessage &WireMessage::byte(char c) {
  Bytes.push_back(c);
  return *this;
}

WireMessage &WireMessage::string(std::string_view text) {
  Bytes.append(text);
  Bytes.push_back('\0');
  return *this;
}

WireMessage &WireMessage::bytes(std::string_view text) {
  Bytes.append(text);
  return *this;
}

std::string WireMessage::finish() {
  std::string length;
  appendBig(length, static_cast<std::uint32_t>(Bytes.size() - 1), 4);
  Bytes.replace(1, 4, length);
  return std::move(Bytes);
}

std::string errorResponse(std::string_view sqlState, std::string_view text) {
  return WireMessage('E')
      .byte('S')
      .string("ERROR")
      .byte('V')
      .string("ERROR")
      .byte('C')
      .string(sqlState)
      .byte('M')
      .string(text)
      .byte('\0')
      .finish();
}

std::string rowDescription(const std::vector<std::string> &columns) {
  WireMessage message('T');
  message.int16(static_cast<std::int16_t>(columns.size()));
  for (const auto &it : columns)
    message.string(it)
        .int32(0)
        .int16(0)
        .int32(TextType)
        .int16(-1)
        .int32(-1)
        .int16(0);
  return message.finish();
}

std::string dataRow(const std::vector<Field> &fields) {
  WireMessage message('D');
  message.int16(static_cast<std::int16_t>(fields.size()));
  for (const auto &it : fields) {
    if (it)
      message.int32(static_cast<std::int32_t>(it->size())).bytes(*it);
    else
      message.int32(-1);
  }
  return message.finish();
}

std::string readyForQuery(char transactionState) {
  return WireMessage('Z').byte(transactionState).finish();
}

} // namespace stepledge::standin
