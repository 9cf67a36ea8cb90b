// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "mesh/ForwardTable.h"

#include <algorithm>

namespace stepledge::mesh {

void ForwardTable::sent(std::uint64_t number, const VmId &owner,
                        RequestId request, TimePoint deadline) {
  Waiting[number] = {owner, request, deadline};
}

std::optional<RequestId> ForwardTable::answered(std::uint64_t number,
                                                const VmId &owner) {
  const auto it = Waiting.find(number);
  if (it == Waiting.end() || it->second.Owner != owner)
    return std::nullopt;
  const auto request = it->second.Request;
  Waiting.erase(it);
  return request;
}

std::vector<RequestId> ForwardTable::takeExpired(TimePoint now) {
  std::vector<RequestId> out;
  for (const auto &[number, it] : Waiting)
    if (it.Deadline <= now)
      out.push_back(it.Request);
  std::erase_if(Waiting,
                [now](const auto &it) { return it.second.Deadline <= now; });
  return out;
}

std::optional<TimePoint> ForwardTable::nextDeadline() const {
  std::optional<TimePoint> next;
  for (const auto &[number, it] : Waiting)
    if (!next || it.Deadline < *next)
      next = it.Deadline;
  return next;
}

} // namespace stepledge::mesh
