// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The bounded queue of one database, by class of work.

#ifndef STEPLEDGE_ADMISSION_REQUESTQUEUE_H
#define STEPLEDGE_ADMISSION_REQUESTQUEUE_H

#include "admission/types/WorkClass.h"
#include "base/types/Ids.h"
#include "base/types/ResultCode.h"
#include "base/types/Time.h"

#include <array>
#include <deque>
#include <optional>
#include <vector>

namespace stepledge::admission {

struct QueueSettings {
  /// Maximum number of waiting requests in each class.
  std::size_t Limit = 256;
  /// Statements that can run at once; used for the expected wait.
  int Slots = 3;
};

struct QueuedRequest {
  RequestId Id;
  WorkClass Class = WorkClass::Browse;
  TimePoint Deadline;
};

/// Whether a request was admitted.
struct Admission {
  ResultCode Code = ResultCode::Done;
  /// The expected wait; for a refusal, the time after which to retry.
  Duration Wait{0};
};

class RequestQueue {
public:
  explicit RequestQueue(QueueSettings settings) : Config(settings) {}

  /// Admits \p request, or refuses it immediately with QueueFull, or with
  /// DeadlineTooNear if it could not start before its deadline.
  Admission push(const QueuedRequest &request, TimePoint now);
  /// Returns an admitted request to the front of its class.
  void putBack(const QueuedRequest &request);
  void remove(RequestId id);

  /// The requests in the order in which to try them: by class, the oldest
  /// first. Browsing is served newest first once much of it waits, since its
  /// oldest requests are the most likely to be abandoned.
  std::vector<QueuedRequest> order() const;
  /// Removes and returns the requests whose deadline has passed.
  std::vector<QueuedRequest> takeExpired(TimePoint now);

  /// Records how long a statement took, for the expected wait.
  void noteService(Duration time);
  Duration expectedWait(WorkClass workClass) const;

  std::size_t size() const;
  std::size_t size(WorkClass workClass) const;
  std::optional<TimePoint> nextDeadline() const;

private:
  using ClassQueue = std::deque<QueuedRequest>;

  ClassQueue &queueOf(WorkClass workClass) {
    return Queues[static_cast<std::size_t>(workClass)];
  }
  const ClassQueue &queueOf(WorkClass workClass) const {
    return Queues[static_cast<std::size_t>(workClass)];
  }

  QueueSettings Config;
  std::array<ClassQueue, WorkClasses> Queues;
  Duration ServiceTime{1000};
};

} // namespace stepledge::admission

#endif // STEPLEDGE_ADMISSION_REQUESTQUEUE_H
