// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "base/ResultTable.h"

#include "base/NameTable.h"

#include "absl/strings/cord.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <array>

namespace stepledge {

namespace {

using enum ResultCode;
using enum ResultClass;

constexpr std::string_view PayloadUrl = "stepledge/result-code";

constexpr auto Rows = std::to_array<ResultRow>({
    {Done, "done", Ran, 200, "The request ran."},
    {SettingsInvalid, "settings-invalid", NotRun, 500,
     "The settings have faults; each is listed with its line."},
    {TokenBroken, "token-broken", NotRun, 400,
     "A session token can't be read."},
    {TokenForged, "token-forged", NotRun, 403,
     "A session token's signature doesn't hold under any valid key."},
    {TokenTooLarge, "token-too-large", NotRun, 400,
     "The session tokens sent are more or larger than allowed."},
    {HistoryLost, "history-lost", NotRun, 409,
     "Something this session saw was lost in a replacement of the primary; "
     "start a new session."},
    {DatabaseUnknown, "database-unknown", NotRun, 404,
     "No database of that name is served here."},
    {NoPrimary, "no-primary", NotRun, 503,
     "No primary of the database can be reached now."},
    {NoInstanceFreshEnough, "no-instance-fresh-enough", NotRun, 503,
     "No instance in reach has what this session saw, or is as fresh as "
     "asked."},
    {PrimaryUnconfirmed, "primary-unconfirmed", NotRun, 503,
     "The primary answers, but no majority has confirmed lately that it is "
     "still the primary."},
    {QueueFull, "queue-full", NotRun, 503,
     "More requests wait for this database than are let wait."},
    {DeadlineTooNear, "deadline-too-near", NotRun, 503,
     "The request could not have started before its deadline."},
    {DeadlinePassed, "deadline-passed", NotRun, 504,
     "The deadline passed before anything was run."},
    {Stopping, "stopping", NotRun, 503,
     "This VM is stopping; another one serves."},
    {StatementFailed, "statement-failed", NotRun, 422,
     "The database refused the statement and rolled it back."},
    {StatementForbidden, "statement-forbidden", NotRun, 400,
     "Statements that open, end or change a transaction or a connection are "
     "not for callers."},
    {WriteOutcomeUnknown, "write-outcome-unknown", Unknown, 502,
     "The connection was lost after the write was handed over; it may have "
     "run."},
    {AcknowledgementMissing, "acknowledgement-missing", Unknown, 504,
     "The primary ran the write, but no majority confirmed it in time; a "
     "loss of the primary may undo it."},
    {KeyReused, "key-reused", NotRun, 422,
     "The idempotency key was used before with another request."},
    {KeyStillRunning, "key-still-running", Unknown, 409,
     "A request with this idempotency key is still running; this resend did "
     "nothing."},
    {ResultTooLarge, "result-too-large", NotRun, 413,
     "The result is larger than allowed."},
    {UpstreamLost, "upstream-lost", NotRun, 503,
     "The instance was lost before the request ran."},
    {ReplacedWhileWriting, "replaced-while-writing", Unknown, 502,
     "The primary was replaced while the write ran; it may have been lost."},
    {ReadAbandoned, "read-abandoned", NotRun, 504,
     "The read was not answered before its deadline; reads change nothing."},
    {WriteDiscarded, "write-discarded", NotRun, 503,
     "The primary was replaced and the write is in no log that counts; it "
     "took no effect."},
    {ResultLeftOut, "result-left-out", Ran, 200,
     "The write ran; its result is larger than allowed and was left out."},
    {WriteNotFound, "write-not-found", NotRun, 503,
     "The connection was lost in the write, and a look-up of its key proved "
     "that it was not run."},
    {TransactionUnknown, "transaction-unknown", NotRun, 404,
     "No such transaction is open; one that was open is rolled back."},
    {TransactionBusy, "transaction-busy", NotRun, 409,
     "Another statement of the transaction is still running."},
    {TransactionSequence, "transaction-sequence", NotRun, 409,
     "The statement's number is not the next one of its transaction."},
    {TransactionIdle, "transaction-idle", NotRun, 410,
     "The transaction was idle for too long and was rolled back."},
    {TransactionTooLong, "transaction-too-long", NotRun, 410,
     "The transaction was open for too long and was rolled back."},
    {TransactionRolledBack, "transaction-rolled-back", NotRun, 409,
     "The transaction was rolled back; nothing of it was run."},
    {TransactionLost, "transaction-lost", NotRun, 503,
     "The transaction's connection was lost, so the database rolls it "
     "back."},
    {TransactionLimit, "transaction-limit", NotRun, 503,
     "As many transactions are open on this database as are allowed."},
    {OwnerUnreachable, "owner-unreachable", NotRun, 503,
     "The VM that holds the transaction can't be reached; nothing was handed "
     "over."},
    {OwnerSilent, "owner-silent", Unknown, 504,
     "The VM that holds the transaction was handed the statement and did not "
     "answer."},
    {BodyInvalid, "body-invalid", NotRun, 400,
     "The body is not the JSON object this path takes."},
    {BodyTooLarge, "body-too-large", NotRun, 413,
     "The body is larger than allowed."},
    {FieldMissing, "field-missing", NotRun, 400,
     "A field that this path needs is missing."},
    {FieldInvalid, "field-invalid", NotRun, 400,
     "A field has a value that this path doesn't take."},
    {TooManyParameters, "too-many-parameters", NotRun, 400,
     "The statement has more parameters than allowed."},
    {TooManyHeaders, "too-many-headers", NotRun, 431,
     "The request has more headers than allowed."},
    {PathUnknown, "path-unknown", NotRun, 404,
     "No such path, or not with this method."},
    {DecisionUnknown, "decision-unknown", NotRun, 404,
     "No record of that decision is held here; old ones make room for new."},
    {StatementTooLong, "statement-too-long", NotRun, 400,
     "The statement's text is longer than allowed."},
    {ConnectFailed, "connect-failed", NotRun, 503,
     "A connection to the instance could not be opened."},
    {ConnectionClosed, "connection-closed", Unknown, 502,
     "The connection to the instance was closed while in use."},
    {ReplacementGivenUp, "replacement-given-up", NotRun, 503,
     "The replacement got no further; the primary came back, another VM went "
     "on, or no majority was in reach."},
});

constexpr auto ClassNames = std::to_array<NameEntry<ResultClass>>({
    {Ran, "ran"},
    {NotRun, "not run"},
    {Unknown, "unknown"},
});

} // namespace

std::span<const ResultRow> resultRows() { return Rows; }

const ResultRow &resultRow(ResultCode code) {
  const auto *it =
      std::find_if(Rows.begin(), Rows.end(),
                   [code](const ResultRow &row) { return row.Code == code; });
  return it == Rows.end() ? Rows.front() : *it;
}

std::string_view nameOf(ResultClass value) { return nameIn(ClassNames, value); }

absl::Status makeStatus(ResultCode code, std::string_view detail) {
  if (code == Done)
    return absl::OkStatus();
  absl::Status status(absl::StatusCode::kUnknown,
                      absl::string_view(detail.data(), detail.size()));
  status.SetPayload(absl::string_view(PayloadUrl.data(), PayloadUrl.size()),
                    absl::Cord(absl::StrCat(static_cast<int>(code))));
  return status;
}

ResultCode codeOf(const absl::Status &status) {
  if (status.ok())
    return Done;
  auto payload = status.GetPayload(
      absl::string_view(PayloadUrl.data(), PayloadUrl.size()));
  int number = 0;
  if (payload && absl::SimpleAtoi(std::string(*payload), &number))
    return static_cast<ResultCode>(number);
  return BodyInvalid;
}

} // namespace stepledge
