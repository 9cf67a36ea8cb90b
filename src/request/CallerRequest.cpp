// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "request/types/CallerRequest.h"

#include "absl/strings/str_split.h"

namespace stepledge::request {

namespace {

/// Parts of a transaction id: "<vm>.<database>.<number>.<nonce>".
constexpr std::size_t Parts = 4;

std::string partOf(const TransactionId &transaction, std::size_t n) {
  const std::vector<std::string> parts = absl::StrSplit(transaction.str(), '.');
  return parts.size() == Parts ? parts[n] : std::string();
}

struct KindName {
  std::string operator()(const ReadCall &) const { return "read"; }
  std::string operator()(const WriteCall &) const { return "write"; }
  std::string operator()(const BeginCall &) const { return "begin"; }
  std::string operator()(const StatementCall &) const { return "statement"; }
  std::string operator()(const CommitCall &) const { return "commit"; }
  std::string operator()(const RollbackCall &) const { return "rollback"; }
};

struct TransactionOf {
  TransactionId operator()(const StatementCall &it) const {
    return it.Transaction;
  }
  TransactionId operator()(const CommitCall &it) const {
    return it.Transaction;
  }
  TransactionId operator()(const RollbackCall &it) const {
    return it.Transaction;
  }
  template <typename Other> TransactionId operator()(const Other &) const {
    return {};
  }
};

} // namespace

std::string kindOf(const Call &call) { return std::visit(KindName(), call); }

TransactionId transactionOf(const Call &call) {
  return std::visit(TransactionOf(), call);
}

VmId ownerOf(const TransactionId &transaction) {
  return VmId(partOf(transaction, 0));
}

DatabaseId databaseOf(const TransactionId &transaction) {
  return DatabaseId(partOf(transaction, 1));
}

} // namespace stepledge::request
