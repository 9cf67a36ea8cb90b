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
  /// Requests that may wait in each class.
  std::size_t Limit = 256;
  /// Statements that can run at once, for the expected wait.
  int Slots = 3;
};

struct QueuedRequest {
  RequestId Id;
  WorkClass Class = WorkClass::Browse;
  TimePoint Deadline;
};

/// Whether a request was let in.
struct Admission {
  ResultCode Code = ResultCode::Done;
  /// How long it is expected to wait; for a refusal, when to come back.
  Duration Wait{0};
};

class RequestQueue {
public:
  explicit RequestQueue(QueueSettings settings) : Config(settings) {}

  /// Lets \p request in, or refuses it at once: with QueueFull, or with
  /// DeadlineTooNear where it could not start before its deadline.
  Admission push(const QueuedRequest &request, TimePoint now);
  /// Puts back a request that was let in before; it goes first in its class.
  void putBack(const QueuedRequest &request);
  void remove(RequestId id);

  /// The order in which requests are to be tried: by class, the oldest first;
  /// browsing newest first once much of it waits, since its oldest are the
  /// likeliest to be given up on.
  std::vector<QueuedRequest> order() const;
  /// Removes and returns what has passed its deadline.
  std::vector<QueuedRequest> takeExpired(TimePoint now);

  /// A statement took this long; shapes the expected wait.
  void noteService(Duration time);
  Duration expectedWait(WorkClass workClass) const;

  std::size_t size() const;
  std::size_t size(WorkClass workClass) const;
  std::optional<TimePoint> nextDeadline() const;

private:
  using Line = std::deque<QueuedRequest>;

  Line &lineOf(WorkClass workClass) {
    return Lines[static_cast<std::size_t>(workClass)];
  }
  const Line &lineOf(WorkClass workClass) const {
    return Lines[static_cast<std::size_t>(workClass)];
  }

  QueueSettings Config;
  std::array<Line, WorkClasses> Lines;
  Duration Service{1000};
};

} // namespace stepledge::admission

#endif // STEPLEDGE_ADMISSION_REQUESTQUEUE_H
