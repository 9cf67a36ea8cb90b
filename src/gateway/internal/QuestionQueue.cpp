// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "gateway/internal/QuestionQueue.h"

#include <utility>

namespace stepledge::gateway {

void QuestionQueue::ask(QuestionKind kind, TimePoint deadline, int replies,
                        OnReply onDone) {
  Questions.push_back({kind, deadline, replies, std::move(onDone)});
}

std::optional<QuestionKind> QuestionQueue::awaited() const {
  return Questions.empty() ? std::nullopt
                           : std::optional(Questions.front().Kind);
}

void QuestionQueue::answered(const proxy::StatementReply &reply) {
  if (Questions.empty())
    return;
  auto &question = Questions.front();
  const auto onDone = std::exchange(question.Done, {});
  if (--question.Replies == 0)
    Questions.pop_front();
  // NOTE: the callback may ask again.
  if (onDone)
    onDone(reply);
}

bool QuestionQueue::isOverdue(TimePoint now) const {
  return !Questions.empty() && Questions.front().Deadline <= now;
}

void QuestionQueue::fail() {
  for (const auto &it : std::exchange(Questions, {}))
    if (it.Done)
      it.Done(std::nullopt);
}

} // namespace stepledge::gateway
