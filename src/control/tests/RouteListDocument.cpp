// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "control/tests/RouteListDocument.h"

#include <sstream>

namespace stepledge::control::tests {

namespace {

/// The bytes of a route's field names and fixed values in an operators'
/// document.
constexpr std::size_t FillBytes = 170;
constexpr int OtherTimeoutMs = 800;
/// Odd, so that no two routes have the same name; it spreads their letters.
constexpr std::uint32_t NameFactor = 2654435761U;

} // namespace

DatabaseId routeListDatabase(int n) {
  std::ostringstream name;
  name << "db" << std::hex << static_cast<std::uint32_t>(n) * NameFactor;
  return DatabaseId(name.str());
}

std::string routeListDocument(std::uint64_t version, int count,
                              int firstTimeoutMs) {
  std::ostringstream out;
  out << version << '\n';
  const std::string fill(FillBytes, '.');
  for (int n = 0; n < count; ++n)
    out << routeListDatabase(n).str() << ' '
        << (n == 0 ? firstTimeoutMs : OtherTimeoutMs) << ' ' << fill << '\n';
  return out.str();
}

absl::StatusOr<Configuration> decodeRouteList(const std::string &document) {
  std::istringstream in(document);
  Configuration configuration;
  if (!(in >> configuration.Version))
    return absl::InvalidArgumentError("no version");
  configuration.Services["db"] = {"db", 23, 0};
  std::string name;
  std::string fill;
  int timeoutMs = 0;
  while (in >> name >> timeoutMs >> fill) {
    Route route;
    route.Database = DatabaseId(name);
    route.Service = "db";
    route.StatementTimeout = milliseconds(timeoutMs);
    configuration.Routes.emplace(route.Database, route);
  }
  return configuration;
}

} // namespace stepledge::control::tests
