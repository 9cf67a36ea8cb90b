// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The questions on their way to one instance, which are answered in
/// turn.

#ifndef STEPLEDGE_GATEWAY_INTERNAL_QUESTIONQUEUE_H
#define STEPLEDGE_GATEWAY_INTERNAL_QUESTIONQUEUE_H

#include "base/types/Time.h"
#include "gateway/internal/ProbeAnswerCheck.h"
#include "proxy/types/StatementReply.h"

#include <deque>
#include <functional>
#include <optional>

namespace stepledge::gateway {

/// Called once: with the first reply to the question, or with none.
using OnReply =
    std::function<void(const std::optional<proxy::StatementReply> &)>;

class QuestionQueue {
public:
  /// The question gets \p replies replies, the first one by \p deadline.
  void ask(QuestionKind kind, TimePoint deadline, int replies, OnReply onDone);
  /// A reply came; it belongs to the oldest question.
  void answered(const proxy::StatementReply &reply);
  /// The oldest question, and so the connection, has run out of time.
  bool isOverdue(TimePoint now) const;
  bool isEmpty() const { return Questions.empty(); }
  /// The kind of the oldest question, or nothing if none is open.
  std::optional<QuestionKind> awaited() const;
  /// No reply comes any more.
  void fail();

private:
  struct Question {
    QuestionKind Kind = QuestionKind::Status;
    TimePoint Deadline{};
    int Replies = 1;
    OnReply Done;
  };

  std::deque<Question> Questions;
};

} // namespace stepledge::gateway

#endif // STEPLEDGE_GATEWAY_INTERNAL_QUESTIONQUEUE_H
