// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What the ledger of idempotency keys holds of a request.

#ifndef STEPLEDGE_REQUEST_INTERNAL_LEDGERENTRY_H
#define STEPLEDGE_REQUEST_INTERNAL_LEDGERENTRY_H

#include "request/types/CallerAnswer.h"
#include "request/types/CallerRequest.h"

#include <optional>
#include <string>

namespace stepledge::request {

/// Tells one request from another under the same key.
std::string digestOf(const Statement &statement);

std::string ledgerText(const ResultSet &result);
/// None for text that is not of ledgerText()'s making.
std::optional<ResultSet> readLedgerText(const std::string &text);

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_INTERNAL_LEDGERENTRY_H
