// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// Calls are checked before they reach anything; answers are whole.

#include "api/ApiModule.h"
#include "session/SessionModule.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

using namespace stepledge;
using namespace stepledge::api;
using nlohmann::json;

namespace {

/// Keeps what was submitted and answers with what the test says.
class FakeGateway : public IRequestGateway {
public:
  void submit(CallerSubmission submission, Done done) override {
    Seen.push_back(std::move(submission));
    GatewayAnswer answer;
    answer.Answer = Next;
    answer.Trace = {1, 2, 3, true};
    done(answer);
  }
  void explain(const DecisionId &decision, Explained done) override {
    done(decision == DecisionId("vm-1")
             ? std::vector<std::string>{"It was read from one."}
             : std::vector<std::string>{});
  }
  std::string metricsText() const override { return "metrics"; }
  Readiness readiness() const override { return State; }

  std::vector<CallerSubmission> Seen;
  request::CallerAnswer Next;
  Readiness State = Readiness::Serving;
};

struct Fixture {
  Fixture() {
    Config.SessionKeys = {{1, std::string(32, 'k')}};
    Tokens = session::makeTokenCodec(Config.SessionKeys, Config.Limits);
    Handler = makeCallHandler(Config, *Tokens, Gateway);
  }

  http::HttpReply call(const std::string &method, const std::string &path,
                       const std::string &body = "",
                       std::vector<http::HttpHeader> headers = {}) {
    http::HttpReply out;
    Handler->handle({method, path, std::move(headers), body},
                    [&](http::HttpReply reply) { out = std::move(reply); });
    return out;
  }

  int codeOfPost(const std::string &path, const std::string &body) {
    return json::parse(call("POST", path, body).Body)["code"].get<int>();
  }

  settings::Settings Config;
  FakeGateway Gateway;
  std::unique_ptr<session::ITokenCodec> Tokens;
  std::unique_ptr<http::ICallHandler> Handler;
};

std::vector<std::string> valuesOf(const http::HttpReply &reply,
                                  const std::string &name) {
  std::vector<std::string> out;
  for (const auto &it : reply.Headers)
    if (it.Name == name)
      out.push_back(it.Value);
  return out;
}

constexpr const char *ReadPath = "/v1/databases/bookings/read";

} // namespace

TEST_CASE("Api_BadInputHasACodeAndReachesNothing") {
  Fixture fixture;
  const auto expect = [&](const std::string &body, ResultCode code) {
    INFO(body);
    CHECK(fixture.codeOfPost(ReadPath, body) == static_cast<int>(code));
  };
  expect("[1]", ResultCode::BodyInvalid);
  expect("{", ResultCode::BodyInvalid);
  expect("{}", ResultCode::FieldMissing);
  expect(R"({"statement":1})", ResultCode::FieldInvalid);
  expect(R"({"statement":"SELECT 1","colour":1})", ResultCode::FieldInvalid);
  expect(R"({"statement":"SELECT 1","max_age_ms":-1})",
         ResultCode::FieldInvalid);
  expect(R"({"statement":"SELECT 1","deadline_ms":0})",
         ResultCode::FieldInvalid);
  expect(R"({"statement":"SELECT 1","parameters":[[1]]})",
         ResultCode::FieldInvalid);
  expect(
      json{{"statement", "SELECT 1"}, {"parameters", std::vector<int>(300, 1)}}
          .dump(),
      ResultCode::TooManyParameters);
  expect(json{{"statement", std::string(70000, 'x')}}.dump(),
         ResultCode::StatementTooLong);
  expect(std::string(300000, ' '), ResultCode::BodyTooLarge);
  CHECK(fixture.codeOfPost("/v1/databases/bookings/paint", "{}") ==
        static_cast<int>(ResultCode::PathUnknown));
  CHECK(fixture.Gateway.Seen.empty());
}

TEST_CASE("Api_TooManyHeadersAreRefused") {
  Fixture fixture;
  const auto reply = fixture.call(
      "GET", "/live", "", std::vector<http::HttpHeader>(65, {"a", "b"}));
  CHECK(reply.Status == 431);
}

TEST_CASE("Api_ReadIsHandedOnWhole") {
  Fixture fixture;
  fixture.call("POST", ReadPath,
               R"({"statement":"SELECT $1","parameters":["a",2,null,true],)"
               R"("max_age_ms":500,"deadline_ms":250})");
  REQUIRE(fixture.Gateway.Seen.size() == 1);
  const auto &seen = fixture.Gateway.Seen[0];
  const auto &read = std::get<request::ReadCall>(seen.Request.Operation);
  CHECK(seen.Request.Database == DatabaseId("bookings"));
  CHECK(seen.TimeAllowed == milliseconds(250));
  CHECK(read.MaxAge == milliseconds(500));
  CHECK(read.Query.Parameters ==
        std::vector<upstream::Value>{"a", "2", std::nullopt, "true"});
}

TEST_CASE("Api_MarksOfAllTokensAreMerged") {
  Fixture fixture;
  session::SessionMarks first;
  session::SessionMarks second;
  first.add(DatabaseId("bookings"), {Term{1}, LogPosition{10}});
  second.add(DatabaseId("bookings"), {Term{1}, LogPosition{12}});
  const auto one = fixture.Tokens->encode(first);
  const auto two = fixture.Tokens->encode(second);
  fixture.call("POST", ReadPath, R"({"statement":"SELECT 1"})",
               {{"stepledge-session", two},
                {"Cookie", "a=b; stepledge-session-vm-1=" + one}});
  CHECK(fixture.Gateway.Seen[0].Request.Marks == second);
}

TEST_CASE("Api_EachAnswerSetsItsOwnCookieAndExpiresThoseSent") {
  Fixture fixture;
  fixture.Gateway.Next.Decision = DecisionId("vm-9");
  fixture.Gateway.Next.Marks.add(DatabaseId("bookings"),
                                 {Term{1}, LogPosition{20}});
  session::SessionMarks old;
  old.add(DatabaseId("bookings"), {Term{1}, LogPosition{10}});
  const auto reply = fixture.call(
      "POST", ReadPath, R"({"statement":"SELECT 1"})",
      {{"Cookie", "stepledge-session-vm-1=" + fixture.Tokens->encode(old)}});
  const auto cookies = valuesOf(reply, "Set-Cookie");
  REQUIRE(cookies.size() == 2);
  CHECK(cookies[0].rfind("stepledge-session-vm-9=", 0) == 0);
  CHECK(cookies[1].rfind("stepledge-session-vm-1=; Max-Age=0", 0) == 0);
  CHECK(valuesOf(reply, "Stepledge-Session").size() == 1);
}

TEST_CASE("Api_ForgedTokenReachesNothing") {
  Fixture fixture;
  const auto reply =
      fixture.call("POST", ReadPath, R"({"statement":"SELECT 1"})",
                   {{"Stepledge-Session", "AAAA"}});
  CHECK(reply.Status >= 400);
  CHECK(fixture.Gateway.Seen.empty());
}

TEST_CASE("Api_RefusalSaysWhatAndWhen") {
  Fixture fixture;
  fixture.Gateway.Next.Code = ResultCode::QueueFull;
  fixture.Gateway.Next.RetryAfter = milliseconds(1500);
  const auto reply =
      fixture.call("POST", ReadPath, R"({"statement":"SELECT 1"})");
  const auto body = json::parse(reply.Body);
  CHECK(reply.Status == 503);
  CHECK(body["class"] == "not run");
  CHECK(body["retry_after_ms"] == 1500.0);
  CHECK(valuesOf(reply, "Retry-After") == std::vector<std::string>{"2"});
  CHECK_FALSE(body.contains("rows"));
}

TEST_CASE("Api_TransactionCallsNameTheirDatabase") {
  Fixture fixture;
  fixture.call("POST", "/v1/transactions/vm.bookings.1.ff/statements",
               R"({"sequence":2,"statement":"SELECT 1"})");
  REQUIRE(fixture.Gateway.Seen.size() == 1);
  CHECK(fixture.Gateway.Seen[0].Request.Database == DatabaseId("bookings"));
  CHECK(fixture.codeOfPost("/v1/transactions/vm.bookings.1.ff/commit", "{}") ==
        static_cast<int>(ResultCode::FieldMissing));
}

TEST_CASE("Api_ReadySaysStopping") {
  Fixture fixture;
  CHECK(fixture.call("GET", "/ready").Status == 200);
  fixture.Gateway.State = Readiness::Stopping;
  CHECK(fixture.call("GET", "/ready").Status == 503);
  CHECK(fixture.call("GET", "/live").Status == 200);
}

TEST_CASE("Api_StoppingVmEndsConnectionsBehindAnAnswer") {
  Fixture fixture;
  const std::string body = R"({"statement":"SELECT 1"})";
  CHECK(!fixture.call("POST", ReadPath, body).IsLast);
  fixture.Gateway.State = Readiness::Stopping;
  CHECK(fixture.call("POST", ReadPath, body).IsLast);
  CHECK(fixture.call("GET", "/ready").IsLast);
}

TEST_CASE("Api_ExplainKnowsOrSaysSo") {
  Fixture fixture;
  CHECK(fixture.call("GET", "/v1/explain/vm-1").Status == 200);
  CHECK(fixture.call("GET", "/v1/explain/vm-2").Status == 404);
}
