// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "api/internal/CallHandler.h"

#include "api/internal/AnswerWriter.h"
#include "api/internal/SessionHeaders.h"
#include "base/ResultTable.h"
#include "observe/types/TraceContext.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace stepledge::api {

namespace {

http::HttpReply refusalOf(const absl::Status &status) {
  return writeRefusal(codeOf(status), std::string(status.message()));
}

http::HttpReply plainText(int status, std::string text) {
  http::HttpReply reply;
  reply.Status = status;
  reply.ContentType = "text/plain; version=0.0.4";
  reply.Body = std::move(text);
  return reply;
}

} // namespace

http::Reply CallHandler::lastWhileStopping(http::Reply reply) const {
  return [this, reply = std::move(reply)](http::HttpReply it) {
    it.IsLast = Gateway.readiness() == Readiness::Stopping;
    reply(std::move(it));
  };
}

void CallHandler::handle(http::HttpCall call, http::Reply reply) {
  reply = lastWhileStopping(std::move(reply));
  if (call.Headers.size() > Config.Limits.Headers)
    return reply(writeRefusal(ResultCode::TooManyHeaders,
                              absl::StrCat("at most ", Config.Limits.Headers)));
  const Path path = absl::StrSplit(call.Path, '/', absl::SkipEmpty());
  if (call.Method == "GET")
    return get(path, reply);
  if (call.Method == "POST")
    return post(call, path, reply);
  reply(writeRefusal(ResultCode::PathUnknown, call.Method));
}

void CallHandler::get(const Path &path, const http::Reply &reply) {
  if (path == Path{"live"})
    return reply(plainText(200, "live\n"));
  if (path == Path{"ready"}) {
    const auto state = Gateway.readiness();
    if (state == Readiness::Serving)
      return reply(plainText(200, "ready\n"));
    return reply(plainText(503, state == Readiness::Stopping ? "stopping\n"
                                                             : "starting\n"));
  }
  if (path == Path{"metrics"})
    return reply(plainText(200, Gateway.metricsText()));
  if (path.size() == 3 && path[0] == "v1" && path[1] == "explain") {
    const auto &id = path[2];
    return Gateway.explain(DecisionId(id),
                           [id, reply](const std::vector<std::string> &lines) {
                             reply(writeExplanation(id, lines));
                           });
  }
  reply(writeRefusal(ResultCode::PathUnknown, ""));
}

absl::StatusOr<CallerSubmission>
CallHandler::readPost(const Path &path, const std::string &body) const {
  const bool isPath = path.size() == 4 && path[0] == "v1";
  if (isPath && path[1] == "databases") {
    const DatabaseId database(path[2]);
    if (path[3] == "read")
      return Reader.read(database, body);
    if (path[3] == "write")
      return Reader.write(database, body);
    if (path[3] == "transactions")
      return Reader.begin(database, body);
  }
  if (isPath && path[1] == "transactions") {
    const TransactionId transaction(path[2]);
    if (path[3] == "statements")
      return Reader.statement(transaction, body);
    if (path[3] == "commit")
      return Reader.commit(transaction, body);
    if (path[3] == "rollback")
      return Reader.rollback(transaction, body);
  }
  return makeStatus(ResultCode::PathUnknown, "");
}

void CallHandler::post(const http::HttpCall &call, const Path &path,
                       const http::Reply &reply) {
  auto submission = readPost(path, call.Body);
  if (!submission.ok())
    return reply(refusalOf(submission.status()));
  submit(*std::move(submission), call, reply);
}

void CallHandler::submit(CallerSubmission submission,
                         const http::HttpCall &call, const http::Reply &reply) {
  const auto sent = readTokens(call);
  auto marks = Tokens.decodeAll(sent.Tokens);
  if (!marks.ok())
    return reply(refusalOf(marks.status()));
  submission.Request.Marks = *std::move(marks);
  submission.Trace = observe::parseTraceParent(call.first("traceparent"));
  Gateway.submit(std::move(submission), [this, sent,
                                         reply](const GatewayAnswer &answer) {
    auto out = writeAnswer(answer.Answer);
    writeToken(Tokens.encode(answer.Answer.Marks), sent,
               answer.Answer.Decision.str(), out);
    out.Headers.push_back({"traceparent", observe::traceParent(answer.Trace)});
    reply(std::move(out));
  });
}

} // namespace stepledge::api
