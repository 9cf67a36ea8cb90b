// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Fields of JSON objects; one that is missing or of another kind is
/// empty, since callers may be of another version.

#ifndef STEPLEDGE_HTTP_JSONFIELDS_H
#define STEPLEDGE_HTTP_JSONFIELDS_H

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <string>

namespace stepledge::http {

using Json = nlohmann::json;

inline std::string textOf(const Json &table, const char *key) {
  const auto it = table.find(key);
  return it != table.end() && it->is_string() ? it->get<std::string>() : "";
}

/// Beyond any time or count that is meant, and small enough to be counted in
/// microseconds.
constexpr double MostNumber = 1e15;

inline std::int64_t numberOf(const Json &table, const char *key,
                             std::int64_t otherwise = 0) {
  const auto it = table.find(key);
  if (it == table.end() || !it->is_number())
    return otherwise;
  return static_cast<std::int64_t>(
      std::clamp(it->get<double>(), -MostNumber, MostNumber));
}

/// A count that may be too large for a number with a fraction.
inline std::uint64_t countOf(const Json &table, const char *key) {
  const auto it = table.find(key);
  return it != table.end() && it->is_number_unsigned()
             ? it->get<std::uint64_t>()
             : 0;
}

inline Json tableOf(const Json &table, const char *key) {
  const auto it = table.find(key);
  return it != table.end() && it->is_object() ? *it : Json::object();
}

} // namespace stepledge::http

#endif // STEPLEDGE_HTTP_JSONFIELDS_H
