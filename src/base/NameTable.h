// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Names of enumerators, for logs, settings and answers.

#ifndef STEPLEDGE_BASE_NAMETABLE_H
#define STEPLEDGE_BASE_NAMETABLE_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace stepledge {

template <typename Enum> struct NameEntry {
  Enum Value;
  std::string_view Name;
};

/// The name of \p value, or "?" where the table lacks it.
template <typename Enum, std::size_t N>
constexpr std::string_view nameIn(const std::array<NameEntry<Enum>, N> &table,
                                  Enum value) {
  for (const auto &it : table)
    if (it.Value == value)
      return it.Name;
  return "?";
}

/// The enumerator called \p name, if any.
template <typename Enum, std::size_t N>
constexpr std::optional<Enum>
valueIn(const std::array<NameEntry<Enum>, N> &table, std::string_view name) {
  for (const auto &it : table)
    if (it.Name == name)
      return it.Value;
  return std::nullopt;
}

} // namespace stepledge

#endif // STEPLEDGE_BASE_NAMETABLE_H
