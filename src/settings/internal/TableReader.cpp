// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "settings/internal/TableReader.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cctype>

namespace stepledge::settings {

namespace {

std::uint32_t lineOf(const toml::node &node) {
  return node.source().begin.line;
}

bool isIpAddress(const std::string &text) {
  in6_addr buf{};
  return inet_pton(AF_INET, text.c_str(), &buf) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &buf) == 1;
}

} // namespace

std::string TableReader::fullKey(std::string_view key) const {
  return Path.empty() ? std::string(key) : Path + "." + std::string(key);
}

const toml::node *TableReader::find(std::string_view key) {
  KnownKeys.emplace(key);
  return Table.get(key);
}

void TableReader::fault(std::string_view key, const std::string &text) {
  const auto *node = Table.get(key);
  const auto line = node == nullptr ? lineOf(Table) : lineOf(*node);
  Faults.push_back({line, fullKey(key) + ": " + text});
}

void TableReader::required(std::string_view key, std::string &out) {
  if (find(key) == nullptr)
    return fault(key, "is missing");
  optional(key, out);
  if (out.empty())
    fault(key, "must not be empty");
}

void TableReader::optional(std::string_view key, std::string &out) {
  const auto *node = find(key);
  if (node == nullptr)
    return;
  if (const auto value = node->value_exact<std::string>())
    out = *value;
  else
    fault(key, "must be text");
}

void TableReader::optional(std::string_view key, double &out) {
  const auto *node = find(key);
  if (node == nullptr)
    return;
  const auto value = node->value<double>();
  if (value && *value >= 0 && *value <= 1)
    out = *value;
  else
    fault(key, "must be a number from 0 to 1");
}

void TableReader::optional(std::string_view key, bool &out) {
  const auto *node = find(key);
  if (node == nullptr)
    return;
  if (const auto value = node->value_exact<bool>())
    out = *value;
  else
    fault(key, "must be true or false");
}

void TableReader::optional(std::string_view key, Range range,
                           std::int64_t &out) {
  const auto *node = find(key);
  if (node == nullptr)
    return;
  const auto value = node->value_exact<std::int64_t>();
  if (value && *value >= range.Min && *value <= range.Max)
    out = *value;
  else
    fault(key, absl::StrCat("must be a whole number from ", range.Min, " to ",
                            range.Max));
}

void TableReader::optional(std::string_view key, Range range, Duration &out) {
  std::int64_t n =
      std::chrono::duration_cast<std::chrono::milliseconds>(out).count();
  optional(key, range, n);
  out = milliseconds(n);
}

void TableReader::checkName(std::string_view key, const std::string &text) {
  const bool fits = std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_';
  });
  if (!fits || text.size() > 64)
    fault(key, "must be up to 64 letters, digits, '-' or '_'");
}

bool TableReader::parseEndpoint(const std::string &text, Endpoint &out) const {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos)
    return false;
  std::string address = text.substr(0, colon);
  if (address.size() > 2 && address.front() == '[' && address.back() == ']')
    address = address.substr(1, address.size() - 2);
  std::uint32_t port = 0;
  if (!absl::SimpleAtoi(text.substr(colon + 1), &port) || port == 0 ||
      port > std::numeric_limits<std::uint16_t>::max() || !isIpAddress(address))
    return false;
  out = {address, static_cast<std::uint16_t>(port)};
  return true;
}

void TableReader::optionalEndpoint(std::string_view key, Endpoint &out) {
  if (find(key) != nullptr)
    requiredEndpoint(key, out);
}

void TableReader::requiredEndpoint(std::string_view key, Endpoint &out) {
  std::string text;
  required(key, text);
  if (!text.empty() && !parseEndpoint(text, out))
    fault(key, "must be an IP address and a port, as in \"127.0.0.1:8080\"");
}

void TableReader::table(std::string_view key, const Visit &visit) {
  const auto *node = find(key);
  if (node == nullptr)
    return;
  const auto *inner = node->as_table();
  if (inner == nullptr)
    return fault(key, "must be a table");
  TableReader reader(*inner, fullKey(key), Faults);
  visit(reader);
  reader.reportUnreadKeys();
}

void TableReader::tables(std::string_view key, const Visit &visit) {
  const auto *node = find(key);
  if (node == nullptr)
    return;
  const auto *list = node->as_array();
  if (list == nullptr)
    return fault(key, "must be an array of tables");
  for (std::size_t n = 0; n < list->size(); ++n) {
    const auto *inner = list->get(n)->as_table();
    if (inner == nullptr) {
      fault(key, "must be an array of tables");
      continue;
    }
    TableReader reader(*inner, absl::StrCat(fullKey(key), "[", n, "]"), Faults);
    visit(reader);
    reader.reportUnreadKeys();
  }
}

void TableReader::durations(
    std::string_view key,
    const std::function<void(const std::string &, Duration)> &take) {
  table(key, [&](TableReader &reader) {
    for (const auto &[name, node] : reader.Table) {
      Duration time{0};
      const std::string text(name.str());
      reader.optional(text, Range{0, 60000}, time);
      take(text, time);
    }
  });
}

void TableReader::reportUnreadKeys() {
  for (const auto &[name, node] : Table)
    if (KnownKeys.find(name.str()) == KnownKeys.end())
      Faults.push_back(
          {lineOf(node), fullKey(name.str()) + ": no such setting"});
}

} // namespace stepledge::settings
