// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What a control VM of a test finds on its disk when it starts.

#ifndef STEPLEDGE_CONTROL_TESTS_DISKRECORDS_H
#define STEPLEDGE_CONTROL_TESTS_DISKRECORDS_H

#include "consensus/ConsensusNode.h"

#include <vector>

namespace stepledge::control::tests {

/// Replays \p records onto \p state, which a disk without any begins with.
inline consensus::DurableState
replayed(consensus::DurableState state,
         const std::vector<consensus::wire::Record> &records) {
  for (const auto &record : records) {
    if (record.has_vote()) {
      state.Term = record.term();
      state.VotedFor = record.voted_for();
    }
    if (record.has_snapshot())
      state.Snapshot = record.snapshot();
    if (!record.has_entry())
      continue;
    while (!state.Entries.empty() &&
           state.Entries.back().index() >= record.entry().index())
      state.Entries.pop_back();
    state.Entries.push_back(record.entry());
  }
  return state;
}

} // namespace stepledge::control::tests

#endif // STEPLEDGE_CONTROL_TESTS_DISKRECORDS_H
