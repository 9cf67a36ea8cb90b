// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "admission/RequestQueue.h"

#include <algorithm>

namespace stepledge::admission {

namespace {

constexpr int ServiceTimeSmoothing = 8;
/// Browsing is served newest first beyond this part of its limit.
constexpr std::size_t NewestFirstDivisor = 4;

} // namespace

Duration RequestQueue::expectedWait(WorkClass workClass) const {
  std::size_t ahead = 0;
  for (std::size_t n = 0; n <= static_cast<std::size_t>(workClass); ++n)
    ahead += Queues[n].size();
  return ServiceTime * static_cast<Duration::rep>(ahead) / Config.Slots;
}

Admission RequestQueue::push(const QueuedRequest &request, TimePoint now) {
  auto &queue = queueOf(request.Class);
  const auto wait = expectedWait(request.Class);
  if (queue.size() >= Config.Limit)
    return {ResultCode::QueueFull, wait};
  if (now + wait >= request.Deadline)
    return {ResultCode::DeadlineTooNear, wait};
  queue.push_back(request);
  return {ResultCode::Done, wait};
}

void RequestQueue::putBack(const QueuedRequest &request) {
  queueOf(request.Class).push_front(request);
}

void RequestQueue::remove(RequestId id) {
  for (auto &queue : Queues)
    std::erase_if(queue, [id](const auto &it) { return it.Id == id; });
}

std::vector<QueuedRequest> RequestQueue::order() const {
  std::vector<QueuedRequest> out;
  out.reserve(size());
  for (const auto &queue : Queues)
    out.insert(out.end(), queue.begin(), queue.end());
  const auto browsing = queueOf(WorkClass::Browse).size();
  if (browsing > Config.Limit / NewestFirstDivisor)
    std::reverse(out.end() - static_cast<std::ptrdiff_t>(browsing), out.end());
  return out;
}

std::vector<QueuedRequest> RequestQueue::takeExpired(TimePoint now) {
  std::vector<QueuedRequest> expired;
  for (auto &queue : Queues) {
    for (const auto &it : queue)
      if (it.Deadline <= now)
        expired.push_back(it);
    std::erase_if(queue, [now](const auto &it) { return it.Deadline <= now; });
  }
  return expired;
}

void RequestQueue::noteService(Duration time) {
  ServiceTime += (time - ServiceTime) / ServiceTimeSmoothing;
  ServiceTime = std::max(ServiceTime, Duration{1});
}

std::size_t RequestQueue::size() const {
  std::size_t n = 0;
  for (const auto &queue : Queues)
    n += queue.size();
  return n;
}

std::size_t RequestQueue::size(WorkClass workClass) const {
  return queueOf(workClass).size();
}

std::optional<TimePoint> RequestQueue::nextDeadline() const {
  std::optional<TimePoint> next;
  for (const auto &queue : Queues)
    for (const auto &it : queue)
      if (!next || it.Deadline < *next)
        next = it.Deadline;
  return next;
}

} // namespace stepledge::admission
