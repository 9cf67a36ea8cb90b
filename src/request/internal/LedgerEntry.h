// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The entry of a request in the ledger of idempotency keys.

#ifndef STEPLEDGE_REQUEST_INTERNAL_LEDGERENTRY_H
#define STEPLEDGE_REQUEST_INTERNAL_LEDGERENTRY_H

#include "request/types/CallerAnswer.h"
#include "request/types/CallerRequest.h"

#include <optional>
#include <string>

namespace stepledge::request {

/// A hash that distinguishes different requests with the same key.
std::string digestOf(const Statement &statement);

/// The form in which the ledger stores \p result.
std::string ledgerText(const ResultSet &result);
/// The inverse of ledgerText(); none for text that it did not write.
std::optional<ResultSet> readLedgerText(const std::string &text);

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_INTERNAL_LEDGERENTRY_H
