// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// Queues are bounded, refusals come at once, retries stay within a share.

#include "admission/ConcurrencyLimit.h"
#include "admission/RequestQueue.h"
#include "admission/RetryBudget.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::admission;

namespace {

TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

QueuedRequest request(std::uint64_t id, WorkClass workClass,
                      std::int64_t deadline) {
  return {RequestId{id}, workClass, at(deadline)};
}

std::vector<std::uint64_t> idsOf(const std::vector<QueuedRequest> &list) {
  std::vector<std::uint64_t> out;
  out.reserve(list.size());
  for (const auto &it : list)
    out.push_back(it.Id.Number);
  return out;
}

using Ids = std::vector<std::uint64_t>;

} // namespace

TEST_CASE("RequestQueue_OrdersByClassThenAge") {
  RequestQueue queue({8, 3});
  queue.push(request(1, WorkClass::Browse, 900), at(0));
  queue.push(request(2, WorkClass::Write, 900), at(0));
  queue.push(request(3, WorkClass::Transaction, 900), at(0));
  queue.push(request(4, WorkClass::Write, 900), at(0));
  CHECK(idsOf(queue.order()) == Ids{3, 2, 4, 1});
}

TEST_CASE("RequestQueue_IsBoundedPerClass") {
  RequestQueue queue({1, 3});
  CHECK(queue.push(request(1, WorkClass::Browse, 900), at(0)).Code ==
        ResultCode::Done);
  CHECK(queue.push(request(2, WorkClass::Browse, 900), at(0)).Code ==
        ResultCode::QueueFull);
  CHECK(queue.push(request(3, WorkClass::Write, 900), at(0)).Code ==
        ResultCode::Done);
}

TEST_CASE("RequestQueue_RefusesRequestsThatCannotStartInTime") {
  RequestQueue queue({64, 1});
  for (int n = 0; n < 200; ++n)
    queue.noteService(milliseconds(100));
  for (std::uint64_t n = 0; n < 10; ++n)
    queue.push(request(n, WorkClass::Write, 9000), at(0));
  const auto refused = queue.push(request(20, WorkClass::Write, 500), at(0));
  CHECK(refused.Code == ResultCode::DeadlineTooNear);
  CHECK(refused.Wait > milliseconds(500));
}

TEST_CASE("RequestQueue_ServesBrowsingNewestFirstUnderLoad") {
  RequestQueue queue({8, 3});
  for (std::uint64_t n = 1; n <= 3; ++n)
    queue.push(request(n, WorkClass::Browse, 900), at(0));
  queue.push(request(9, WorkClass::Write, 900), at(0));
  CHECK(idsOf(queue.order()) == Ids{9, 3, 2, 1});
}

TEST_CASE("RequestQueue_RemovesExpiredRequests") {
  RequestQueue queue({8, 3});
  queue.push(request(1, WorkClass::Write, 100), at(0));
  queue.push(request(2, WorkClass::Write, 200), at(0));
  CHECK(queue.nextDeadline() == at(100));
  CHECK(idsOf(queue.takeExpired(at(150))) == Ids{1});
  CHECK(idsOf(queue.order()) == Ids{2});
}

TEST_CASE("RequestQueue_PutBackGoesFirst") {
  RequestQueue queue({8, 3});
  queue.push(request(1, WorkClass::Write, 900), at(0));
  queue.putBack(request(2, WorkClass::Write, 900));
  CHECK(idsOf(queue.order()) == Ids{2, 1});
}

TEST_CASE("RetryBudget_IsAShareOfTraffic") {
  RetryBudget budget(0.1, 2);
  CHECK(budget.take());
  CHECK(budget.take());
  CHECK_FALSE(budget.take());
  for (int n = 0; n < 11; ++n)
    budget.noteRequest();
  CHECK(budget.take());
  CHECK_FALSE(budget.take());
}

TEST_CASE("ConcurrencyLimit_FallsWhenSlowAndRisesAgain") {
  ConcurrencyLimit limit(8);
  limit.noteAnswer(milliseconds(2), 1);
  for (int n = 0; n < 30; ++n)
    limit.noteAnswer(milliseconds(400), 8);
  CHECK(limit.limit() < 4);
  for (int n = 0; n < 100; ++n)
    limit.noteAnswer(milliseconds(2), 8);
  CHECK(limit.limit() == 8);
}
