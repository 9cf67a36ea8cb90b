// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "mesh/ForwardCodec.h"

namespace stepledge::mesh {

namespace {

using google::protobuf::RepeatedPtrField;

void write(const upstream::Value &value, wire::Value &out) {
  out.set_is_null(!value.has_value());
  if (value)
    out.set_text(*value);
}

upstream::Value read(const wire::Value &value) {
  return value.is_null() ? upstream::Value() : upstream::Value(value.text());
}

void write(const session::SessionMarks &marks,
           RepeatedPtrField<wire::MarkEntry> &out) {
  for (const auto &[database, list] : marks.all()) {
    for (const auto &it : list) {
      auto &entry = *out.Add();
      entry.set_database(database.str());
      entry.set_term(it.WrittenIn.Number);
      entry.set_position(it.Position.Offset);
    }
  }
}

session::SessionMarks read(const RepeatedPtrField<wire::MarkEntry> &marks) {
  session::SessionMarks out;
  for (const auto &it : marks)
    out.add(DatabaseId(it.database()),
            {Term{it.term()}, LogPosition{it.position()}});
  return out;
}

/// Writes the fields that each kind of call has of its own.
struct CallWriter {
  wire::ForwardCall &Out;

  bool operator()(const request::StatementCall &it) const {
    Out.set_transaction(it.Transaction.str());
    Out.set_action(wire::STATEMENT);
    Out.set_sequence(it.Sequence);
    Out.set_sql(it.Command.Sql);
    for (const auto &parameter : it.Command.Parameters)
      write(parameter, *Out.add_parameters());
    return true;
  }
  bool operator()(const request::CommitCall &it) const {
    Out.set_transaction(it.Transaction.str());
    Out.set_action(wire::COMMIT);
    Out.set_sequence(it.Sequence);
    return true;
  }
  bool operator()(const request::RollbackCall &it) const {
    Out.set_transaction(it.Transaction.str());
    Out.set_action(wire::ROLLBACK);
    return true;
  }
  template <typename Other> bool operator()(const Other &) const {
    return false;
  }
};

request::Call readCall(const wire::ForwardCall &call) {
  const TransactionId id(call.transaction());
  if (call.action() == wire::COMMIT)
    return request::CommitCall{id, call.sequence()};
  if (call.action() == wire::ROLLBACK)
    return request::RollbackCall{id};
  request::Statement statement{call.sql(), {}};
  for (const auto &it : call.parameters())
    statement.Parameters.push_back(read(it));
  return request::StatementCall{id, call.sequence(), std::move(statement)};
}

} // namespace

std::optional<wire::ForwardCall>
toForwardCall(const request::CallerRequest &request, TimePoint now) {
  wire::ForwardCall out;
  if (!std::visit(CallWriter{out}, request.Operation))
    return std::nullopt;
  write(request.Marks, *out.mutable_marks());
  const auto left = std::max(Duration{0}, request.Deadline - now);
  out.set_deadline_microseconds(static_cast<std::uint64_t>(left.count()));
  return out;
}

request::CallerRequest fromForwardCall(const wire::ForwardCall &call,
                                       TimePoint now) {
  request::CallerRequest out;
  out.Operation = readCall(call);
  out.Database = request::databaseOf(TransactionId(call.transaction()));
  out.Marks = read(call.marks());
  out.Deadline =
      now + Duration(static_cast<Duration::rep>(call.deadline_microseconds()));
  return out;
}

wire::ForwardAnswer toForwardAnswer(const request::CallerAnswer &answer) {
  wire::ForwardAnswer out;
  out.set_code(static_cast<std::int32_t>(answer.Code));
  out.set_detail(answer.Detail);
  for (const auto &it : answer.Result.Columns)
    out.add_columns(it);
  for (const auto &row : answer.Result.Rows) {
    auto &written = *out.add_rows();
    for (const auto &it : row)
      write(it, *written.add_values());
  }
  out.set_affected_rows(answer.Result.AffectedRows);
  write(answer.Marks, *out.mutable_marks());
  out.set_answered_by(answer.AnsweredBy.str());
  out.set_transaction(answer.Transaction.str());
  out.set_retry_after_microseconds(
      static_cast<std::uint64_t>(answer.RetryAfter.count()));
  out.set_decision(answer.Decision.str());
  return out;
}

request::CallerAnswer fromForwardAnswer(const wire::ForwardAnswer &answer) {
  request::CallerAnswer out;
  out.Code = static_cast<ResultCode>(answer.code());
  out.Detail = answer.detail();
  out.Result.Columns.assign(answer.columns().begin(), answer.columns().end());
  for (const auto &row : answer.rows()) {
    upstream::Row read;
    for (const auto &it : row.values())
      read.push_back(mesh::read(it));
    out.Result.Rows.push_back(std::move(read));
  }
  out.Result.AffectedRows = answer.affected_rows();
  out.Marks = read(answer.marks());
  out.AnsweredBy = InstanceId(answer.answered_by());
  out.Transaction = TransactionId(answer.transaction());
  out.RetryAfter =
      Duration(static_cast<Duration::rep>(answer.retry_after_microseconds()));
  out.Decision = DecisionId(answer.decision());
  return out;
}

} // namespace stepledge::mesh
