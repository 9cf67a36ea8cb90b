// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "observe/internal/DecisionJournal.h"

namespace stepledge::observe {

void DecisionJournal::add(request::DecisionRecord record) {
  Order.push_back(record.Id);
  Records[record.Id] = std::move(record);
  if (Order.size() <= Limit)
    return;
  Records.erase(Order.front());
  Order.pop_front();
}

const request::DecisionRecord *
DecisionJournal::find(const DecisionId &id) const {
  const auto it = Records.find(id);
  return it == Records.end() ? nullptr : &it->second;
}

} // namespace stepledge::observe
