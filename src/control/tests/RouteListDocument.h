// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file An operators' document for tests: a version and a list of routes, each
/// as long as in the documents of real operators.

#ifndef STEPLEDGE_CONTROL_TESTS_ROUTELISTDOCUMENT_H
#define STEPLEDGE_CONTROL_TESTS_ROUTELISTDOCUMENT_H

#include "control/types/Configuration.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>

namespace stepledge::control::tests {

/// \p count routes of one service; the first has the timeout \p firstTimeoutMs.
std::string routeListDocument(std::uint64_t version, int count,
                              int firstTimeoutMs = 800);

absl::StatusOr<Configuration> decodeRouteList(const std::string &document);

/// The database of the route number \p n.
DatabaseId routeListDatabase(int n);

} // namespace stepledge::control::tests

#endif // STEPLEDGE_CONTROL_TESTS_ROUTELISTDOCUMENT_H
