// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The PostgreSQL v3 messages that libpq and a server exchange.
/// Source: PostgreSQL documentation, "Frontend/Backend Protocol".

#ifndef STEPLEDGE_STANDIN_INTERNAL_WIREMESSAGES_H
#define STEPLEDGE_STANDIN_INTERNAL_WIREMESSAGES_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace stepledge::standin {

/// Reads fields of one message in network order; past the end it reads zeros.
class WireReader {
public:
  explicit WireReader(std::string_view body) : Rest(body) {}

  std::int32_t int32();
  std::int16_t int16();
  std::string_view string();
  std::string_view bytes(std::size_t n);

private:
  std::string_view Rest;
};

/// Builds the bytes of one server message.
class WireMessage {
public:
  explicit WireMessage(char type) : Bytes(1, type) { Bytes.append(4, '\0'); }

  WireMessage &int32(std::int32_t n);
  WireMessage &int16(std::int16_t n);
  WireMessage &byte(char c);
  WireMessage &string(std::string_view text);
  WireMessage &bytes(std::string_view text);

  /// The whole message, its length filled in.
  std::string finish();

private:
  std::string Bytes;
};

using Field = std::optional<std::string>;

std::string errorResponse(std::string_view sqlState, std::string_view text);
std::string rowDescription(const std::vector<std::string> &columns);
std::string dataRow(const std::vector<Field> &fields);
std::string readyForQuery(char transactionState);

} // namespace stepledge::standin

#endif // STEPLEDGE_STANDIN_INTERNAL_WIREMESSAGES_H
