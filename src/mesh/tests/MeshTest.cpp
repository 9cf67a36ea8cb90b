// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// What is forwarded arrives whole, and each answer finds its own request.

#include "mesh/ForwardCodec.h"
#include "mesh/ForwardTable.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::mesh;

namespace {

TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

const VmId Owner("entry-a1");
const VmId Other("entry-b1");

} // namespace

TEST_CASE("ForwardCodec_StatementArrivesWhole") {
  request::CallerRequest sent;
  sent.Database = DatabaseId("bookings");
  sent.Marks.add(sent.Database, {Term{2}, LogPosition{7}});
  sent.Deadline = at(500);
  sent.Operation = request::StatementCall{
      TransactionId("entry-a1.bookings.3.00ff"),
      4,
      {"UPDATE t SET a = $1, b = $2", {"x", std::nullopt}}};
  const auto call = toForwardCall(sent, at(100));
  REQUIRE(call.has_value());
  const auto got = fromForwardCall(*call, at(7000));
  const auto &statement = std::get<request::StatementCall>(got.Operation);
  CHECK(got.Database == sent.Database);
  CHECK(got.Marks == sent.Marks);
  CHECK(got.Deadline == at(7400));
  CHECK(statement.Sequence == 4);
  CHECK(statement.Command.Parameters ==
        std::vector<upstream::Value>{"x", std::nullopt});
}

TEST_CASE("ForwardCodec_OnlyCallsWithinTransactions") {
  request::CallerRequest read;
  read.Operation = request::ReadCall{};
  CHECK_FALSE(toForwardCall(read, at(0)).has_value());
}

TEST_CASE("ForwardCodec_AnswerArrivesWhole") {
  request::CallerAnswer sent;
  sent.Code = ResultCode::TransactionSequence;
  sent.Detail = "the next one is 2";
  sent.Result = {{"a"}, {{"1"}, {std::nullopt}}, 2};
  sent.Marks.add(DatabaseId("bookings"), {Term{1}, LogPosition{9}});
  sent.Decision = DecisionId("entry-a1-9");
  const auto got = fromForwardAnswer(toForwardAnswer(sent));
  CHECK(got.Code == sent.Code);
  CHECK(got.Detail == sent.Detail);
  CHECK(got.Result == sent.Result);
  CHECK(got.Marks == sent.Marks);
  CHECK(got.Decision == sent.Decision);
}

TEST_CASE("ForwardTable_LateDoubledAndForeignAnswersFindNobody") {
  ForwardTable table;
  const auto number = table.nextNumber();
  table.sent(number, Owner, RequestId{5}, at(100));
  CHECK_FALSE(table.answered(number, Other).has_value());
  CHECK(table.answered(number, Owner) == RequestId{5});
  CHECK_FALSE(table.answered(number, Owner).has_value());
}

TEST_CASE("ForwardTable_SilentOwnersAreGivenUpAtTheDeadline") {
  ForwardTable table;
  const auto number = table.nextNumber();
  table.sent(number, Owner, RequestId{5}, at(100));
  CHECK(table.takeExpired(at(99)).empty());
  CHECK(table.takeExpired(at(100)) == std::vector<RequestId>{RequestId{5}});
  CHECK_FALSE(table.answered(number, Owner).has_value());
}
