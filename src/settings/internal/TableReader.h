// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Reads the keys of one TOML table, and records faults and unknown keys.

#ifndef STEPLEDGE_SETTINGS_INTERNAL_TABLEREADER_H
#define STEPLEDGE_SETTINGS_INTERNAL_TABLEREADER_H

#include "base/types/Time.h"
#include "settings/types/Settings.h"
#include "settings/types/SettingsFault.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

namespace stepledge::settings {

/// The allowed range of a whole number.
struct Range {
  std::int64_t Min = 0;
  std::int64_t Max = std::numeric_limits<std::int32_t>::max();
};

class TableReader {
public:
  TableReader(const toml::table &table, std::string path,
              std::vector<SettingsFault> &faults)
      : Table(table), Path(std::move(path)), Faults(faults) {}

  void required(std::string_view key, std::string &out);
  void optional(std::string_view key, std::string &out);
  void optional(std::string_view key, double &out);
  void optional(std::string_view key, bool &out);
  void optional(std::string_view key, Range range, std::int64_t &out);
  /// A whole number of milliseconds.
  void optional(std::string_view key, Range range, Duration &out);
  template <typename T>
  void optionalNumber(std::string_view key, Range range, T &out) {
    auto n = static_cast<std::int64_t>(out);
    optional(key, range, n);
    out = static_cast<T>(n);
  }
  template <typename Id> void requiredId(std::string_view key, Id &out) {
    std::string text;
    required(key, text);
    checkName(key, text);
    out = Id(text);
  }
  /// "IP:PORT".
  void requiredEndpoint(std::string_view key, Endpoint &out);
  void optionalEndpoint(std::string_view key, Endpoint &out);

  using Visit = std::function<void(TableReader &)>;
  void table(std::string_view key, const Visit &visit);
  void tables(std::string_view key, const Visit &visit);
  /// Passes each key of the table, with its whole number of milliseconds.
  void
  durations(std::string_view key,
            const std::function<void(const std::string &, Duration)> &take);

  void fault(std::string_view key, const std::string &text);
  /// Adds a fault for every key that was not read.
  void reportUnreadKeys();

private:
  const toml::node *find(std::string_view key);
  void checkName(std::string_view key, const std::string &text);
  bool parseEndpoint(const std::string &text, Endpoint &out) const;
  std::string fullKey(std::string_view key) const;

  const toml::table &Table;
  std::string Path;
  std::vector<SettingsFault> &Faults;
  std::set<std::string, std::less<>> KnownKeys;
};

} // namespace stepledge::settings

#endif // STEPLEDGE_SETTINGS_INTERNAL_TABLEREADER_H
