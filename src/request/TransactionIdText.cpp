// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "request/types/CallerRequest.h"

#include "absl/strings/str_split.h"

namespace stepledge::request {

namespace {

/// "<vm>.<database>.<number>.<nonce>"
constexpr std::size_t Parts = 4;

std::string partOf(const TransactionId &transaction, std::size_t n) {
  const std::vector<std::string> parts = absl::StrSplit(transaction.str(), '.');
  return parts.size() == Parts ? parts[n] : std::string();
}

} // namespace

VmId ownerOf(const TransactionId &transaction) {
  return VmId(partOf(transaction, 0));
}

DatabaseId databaseOf(const TransactionId &transaction) {
  return DatabaseId(partOf(transaction, 1));
}

} // namespace stepledge::request
