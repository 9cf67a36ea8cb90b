// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "request/internal/LedgerEntry.h"

#include "absl/strings/str_format.h"

#include <nlohmann/json.hpp>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace stepledge::request {

std::string digestOf(const Statement &statement) {
  nlohmann::json parts = {statement.Sql};
  for (const auto &it : statement.Parameters)
    parts.push_back(it ? nlohmann::json(*it) : nlohmann::json());
  const auto text =
      parts.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  const auto hash = XXH3_128bits(text.data(), text.size());
  return absl::StrFormat("%016x%016x", hash.high64, hash.low64);
}

std::string ledgerText(const ResultSet &result) {
  auto rows = nlohmann::json::array();
  for (const auto &row : result.Rows) {
    auto cells = nlohmann::json::array();
    for (const auto &it : row)
      cells.push_back(it ? nlohmann::json(*it) : nlohmann::json());
    rows.push_back(std::move(cells));
  }
  const nlohmann::json out = {{"columns", result.Columns},
                              {"rows", std::move(rows)},
                              {"affected", result.AffectedRows}};
  return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<ResultSet> readLedgerText(const std::string &text) {
  const auto parsed = nlohmann::json::parse(text, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("columns") ||
      !parsed.contains("rows") || !parsed.contains("affected"))
    return std::nullopt;
  ResultSet result;
  result.Columns = parsed["columns"].get<std::vector<std::string>>();
  result.AffectedRows = parsed["affected"].get<std::int64_t>();
  for (const auto &cells : parsed["rows"]) {
    upstream::Row row;
    for (const auto &it : cells)
      row.push_back(it.is_null() ? upstream::Value()
                                 : upstream::Value(it.get<std::string>()));
    result.Rows.push_back(std::move(row));
  }
  return result;
}

} // namespace stepledge::request
