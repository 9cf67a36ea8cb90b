// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "request/internal/TransactionTable.h"

#include <algorithm>

namespace stepledge::request {

namespace {

constexpr std::size_t MaxClosedKept = 1024;

} // namespace

std::uint64_t TransactionTable::open(std::uint64_t number,
                                     OpenTransaction transaction) {
  Open[number] = std::move(transaction);
  return number;
}

OpenTransaction *TransactionTable::find(std::uint64_t number) {
  const auto it = Open.find(number);
  return it == Open.end() ? nullptr : &it->second;
}

std::pair<std::uint64_t, OpenTransaction *>
TransactionTable::find(const TransactionId &id) {
  const auto it =
      std::find_if(Open.begin(), Open.end(),
                   [&](const auto &entry) { return entry.second.Id == id; });
  if (it == Open.end())
    return {0, nullptr};
  return {it->first, &it->second};
}

void TransactionTable::close(std::uint64_t number, ResultCode reason) {
  const auto it = Open.find(number);
  if (it == Open.end())
    return;
  Closed[it->second.Id] = reason;
  ClosedOrder.push_back(it->second.Id);
  Open.erase(it);
  if (ClosedOrder.size() <= MaxClosedKept)
    return;
  Closed.erase(ClosedOrder.front());
  ClosedOrder.pop_front();
}

ResultCode TransactionTable::closeReason(const TransactionId &id) const {
  const auto it = Closed.find(id);
  return it == Closed.end() ? ResultCode::TransactionUnknown : it->second;
}

std::vector<std::uint64_t> TransactionTable::numbers() const {
  std::vector<std::uint64_t> out;
  out.reserve(Open.size());
  for (const auto &[number, it] : Open)
    out.push_back(number);
  return out;
}

} // namespace stepledge::request
