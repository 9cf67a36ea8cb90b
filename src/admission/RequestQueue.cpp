// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "admission/RequestQueue.h"

#include <algorithm>

namespace stepledge::admission {

namespace {

constexpr int ServiceWeight = 8;
/// Browsing is served newest first beyond this part of its limit.
constexpr std::size_t NewestFirstPart = 4;

} // namespace

Duration RequestQueue::expectedWait(WorkClass workClass) const {
  std::size_t ahead = 0;
  for (std::size_t n = 0; n <= static_cast<std::size_t>(workClass); ++n)
    ahead += Lines[n].size();
  return Service * static_cast<Duration::rep>(ahead) / Config.Slots;
}

Admission RequestQueue::push(const QueuedRequest &request, TimePoint now) {
  auto &line = lineOf(request.Class);
  const auto wait = expectedWait(request.Class);
  if (line.size() >= Config.Limit)
    return {ResultCode::QueueFull, wait};
  if (now + wait >= request.Deadline)
    return {ResultCode::DeadlineTooNear, wait};
  line.push_back(request);
  return {ResultCode::Done, wait};
}

void RequestQueue::putBack(const QueuedRequest &request) {
  lineOf(request.Class).push_front(request);
}

void RequestQueue::remove(RequestId id) {
  for (auto &line : Lines)
    std::erase_if(line, [id](const auto &it) { return it.Id == id; });
}

std::vector<QueuedRequest> RequestQueue::order() const {
  std::vector<QueuedRequest> out;
  out.reserve(size());
  for (const auto &line : Lines)
    out.insert(out.end(), line.begin(), line.end());
  const auto browsing = lineOf(WorkClass::Browse).size();
  if (browsing > Config.Limit / NewestFirstPart)
    std::reverse(out.end() - static_cast<std::ptrdiff_t>(browsing), out.end());
  return out;
}

std::vector<QueuedRequest> RequestQueue::takeExpired(TimePoint now) {
  std::vector<QueuedRequest> expired;
  for (auto &line : Lines) {
    for (const auto &it : line)
      if (it.Deadline <= now)
        expired.push_back(it);
    std::erase_if(line, [now](const auto &it) { return it.Deadline <= now; });
  }
  return expired;
}

void RequestQueue::noteService(Duration time) {
  Service += (time - Service) / ServiceWeight;
  Service = std::max(Service, Duration{1});
}

std::size_t RequestQueue::size() const {
  std::size_t n = 0;
  for (const auto &line : Lines)
    n += line.size();
  return n;
}

std::size_t RequestQueue::size(WorkClass workClass) const {
  return lineOf(workClass).size();
}

std::optional<TimePoint> RequestQueue::nextDeadline() const {
  std::optional<TimePoint> next;
  for (const auto &line : Lines)
    for (const auto &it : line)
      if (!next || it.Deadline < *next)
        next = it.Deadline;
  return next;
}

} // namespace stepledge::admission
