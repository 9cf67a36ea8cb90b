// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Keeps the latest decisions, to be asked about.

#ifndef STEPLEDGE_OBSERVE_IDECISIONJOURNAL_H
#define STEPLEDGE_OBSERVE_IDECISIONJOURNAL_H

#include "request/types/DecisionRecord.h"

namespace stepledge::observe {

class IDecisionJournal {
public:
  virtual ~IDecisionJournal() = default;

  virtual void add(request::DecisionRecord record) = 0;
  /// Null where the record was never here or has made room for newer ones.
  virtual const request::DecisionRecord *find(const DecisionId &id) const = 0;
};

} // namespace stepledge::observe

#endif // STEPLEDGE_OBSERVE_IDECISIONJOURNAL_H
