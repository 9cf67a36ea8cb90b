// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Calls that were handed to another VM and have no answer yet.

#ifndef STEPLEDGE_MESH_FORWARDTABLE_H
#define STEPLEDGE_MESH_FORWARDTABLE_H

#include "base/types/Ids.h"
#include "base/types/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace stepledge::mesh {

class ForwardTable {
public:
  /// A number for the next message; never used twice.
  std::uint64_t nextNumber() { return ++Numbers; }

  void sent(std::uint64_t number, const VmId &owner, RequestId request,
            TimePoint deadline);
  /// The request that \p number from \p owner answers; none for an answer
  /// that is late, doubled or from another VM.
  std::optional<RequestId> answered(std::uint64_t number, const VmId &owner);
  /// The requests whose owners were silent until their deadlines.
  std::vector<RequestId> takeExpired(TimePoint now);
  std::optional<TimePoint> nextDeadline() const;
  std::size_t size() const { return Waiting.size(); }

private:
  struct Entry {
    VmId Owner;
    RequestId Request;
    TimePoint Deadline;
  };

  std::uint64_t Numbers = 0;
  std::map<std::uint64_t, Entry> Waiting;
};

} // namespace stepledge::mesh

#endif // STEPLEDGE_MESH_FORWARDTABLE_H
