// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The latest decisions, in memory.

#ifndef STEPLEDGE_OBSERVE_INTERNAL_DECISIONJOURNAL_H
#define STEPLEDGE_OBSERVE_INTERNAL_DECISIONJOURNAL_H

#include "observe/IDecisionJournal.h"

#include "absl/container/flat_hash_map.h"

#include <cstddef>
#include <deque>

namespace stepledge::observe {

class DecisionJournal : public IDecisionJournal {
public:
  explicit DecisionJournal(std::size_t limit) : Limit(limit) {}

  void add(request::DecisionRecord record) override;
  const request::DecisionRecord *find(const DecisionId &id) const override;

private:
  std::size_t Limit;
  std::deque<DecisionId> Order;
  absl::flat_hash_map<DecisionId, request::DecisionRecord> Records;
};

} // namespace stepledge::observe

#endif // STEPLEDGE_OBSERVE_INTERNAL_DECISIONJOURNAL_H
