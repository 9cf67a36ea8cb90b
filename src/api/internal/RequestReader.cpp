// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "api/internal/RequestReader.h"

#include "base/ResultTable.h"

#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <initializer_list>
#include <limits>
#include <string_view>

namespace stepledge::api {

namespace {

using nlohmann::json;

constexpr std::int64_t LongestAgeMs = 24LL * 3600 * 1000;

/// Reads the fields of one body; the first fault stops it.
class BodyFields {
public:
  BodyFields(const std::string &body, const settings::Settings &settings,
             std::initializer_list<std::string_view> known)
      : Config(settings) {
    load(body, known);
  }

  const absl::Status &status() const { return Fault; }

  void load(const std::string &body,
            std::initializer_list<std::string_view> known) {
    if (body.size() > Config.Limits.BodyBytes)
      return fail(ResultCode::BodyTooLarge,
                  absl::StrCat("at most ", Config.Limits.BodyBytes, " bytes"));
    Fields = json::parse(body.empty() ? "{}" : body, nullptr, false);
    if (!Fields.is_object())
      return fail(ResultCode::BodyInvalid, "");
    for (const auto &[name, value] : Fields.items())
      if (std::find(known.begin(), known.end(), name) == known.end())
        return fail(ResultCode::FieldInvalid,
                    absl::StrCat("there is no field '", name, "' here"));
  }

  std::int64_t number(const std::string &name, std::int64_t least,
                      std::int64_t most, std::int64_t usual) {
    if (!Fault.ok() || !Fields.contains(name))
      return usual;
    const auto &value = Fields[name];
    const bool fits = value.is_number_integer() &&
                      value.get<std::int64_t>() >= least &&
                      value.get<std::int64_t>() <= most;
    if (fits)
      return value.get<std::int64_t>();
    fail(ResultCode::FieldInvalid,
         absl::StrCat("'", name, "' must be a whole number from ", least,
                      " to ", most));
    return usual;
  }

  bool has(const std::string &name) const {
    return Fault.ok() && Fields.contains(name);
  }

  void require(const std::string &name) {
    if (Fault.ok() && !Fields.contains(name))
      fail(ResultCode::FieldMissing, absl::StrCat("'", name, "'"));
  }

  std::string text(const std::string &name) {
    if (!has(name))
      return {};
    if (Fields[name].is_string())
      return Fields[name].get<std::string>();
    fail(ResultCode::FieldInvalid, absl::StrCat("'", name, "' must be text"));
    return {};
  }

  request::Statement statement() {
    require("statement");
    request::Statement out{text("statement"), {}};
    const auto &limits = Config.Limits;
    if (out.Sql.size() > limits.StatementBytes)
      fail(ResultCode::StatementTooLong,
           absl::StrCat("at most ", limits.StatementBytes, " bytes"));
    // NOTE: libpq takes C strings, which would cut the text short.
    if (out.Sql.find('\0') != std::string::npos)
      fail(ResultCode::FieldInvalid, "'statement' has a zero byte");
    if (!has("parameters"))
      return out;
    const auto &list = Fields["parameters"];
    if (!list.is_array()) {
      fail(ResultCode::FieldInvalid, "'parameters' must be an array");
      return out;
    }
    if (list.size() > limits.Parameters) {
      fail(ResultCode::TooManyParameters,
           absl::StrCat("at most ", limits.Parameters));
      return out;
    }
    for (const auto &it : list)
      out.Parameters.push_back(parameter(it));
    return out;
  }

  Duration timeAllowed() {
    const auto usual = std::chrono::duration_cast<std::chrono::milliseconds>(
        Config.Timing.DefaultDeadline);
    const auto most = std::chrono::duration_cast<std::chrono::milliseconds>(
        Config.Timing.LongestDeadline);
    return milliseconds(number("deadline_ms", 1, most.count(), usual.count()));
  }

  std::string key() {
    auto out = text("idempotency_key");
    if (out.size() > Config.Limits.KeyBytes ||
        (has("idempotency_key") && out.empty()))
      fail(ResultCode::FieldInvalid,
           absl::StrCat("'idempotency_key' must have 1 to ",
                        Config.Limits.KeyBytes, " bytes"));
    return out;
  }

private:
  upstream::Value parameter(const json &value) {
    if (value.is_null())
      return std::nullopt;
    if (value.is_string()) {
      auto out = value.get<std::string>();
      if (out.find('\0') != std::string::npos)
        fail(ResultCode::FieldInvalid, "a parameter has a zero byte");
      return out;
    }
    if (value.is_boolean() || value.is_number())
      return value.dump();
    fail(ResultCode::FieldInvalid,
         "a parameter must be text, a number, a truth value or null");
    return std::nullopt;
  }

  void fail(ResultCode code, const std::string &detail) {
    if (Fault.ok())
      Fault = makeStatus(code, detail);
  }

  const settings::Settings &Config;
  json Fields;
  absl::Status Fault;
};

absl::StatusOr<CallerSubmission> submissionOf(BodyFields &fields,
                                              const DatabaseId &database,
                                              request::Call call) {
  CallerSubmission out;
  out.TimeAllowed = fields.timeAllowed();
  out.Request.Database = database;
  out.Request.Operation = std::move(call);
  if (!fields.status().ok())
    return fields.status();
  return out;
}

std::uint32_t sequenceOf(BodyFields &fields) {
  fields.require("sequence");
  return static_cast<std::uint32_t>(fields.number(
      "sequence", 1, std::numeric_limits<std::int32_t>::max(), 1));
}

} // namespace

absl::StatusOr<CallerSubmission>
RequestReader::read(const DatabaseId &database, const std::string &body) const {
  BodyFields fields(body, Config,
                    {"statement", "parameters", "max_age_ms", "deadline_ms"});
  request::ReadCall call{fields.statement(), std::nullopt};
  if (fields.has("max_age_ms"))
    call.MaxAge = milliseconds(fields.number("max_age_ms", 0, LongestAgeMs, 0));
  return submissionOf(fields, database, std::move(call));
}

absl::StatusOr<CallerSubmission>
RequestReader::write(const DatabaseId &database,
                     const std::string &body) const {
  BodyFields fields(
      body, Config,
      {"statement", "parameters", "idempotency_key", "deadline_ms"});
  request::WriteCall call{fields.statement(), fields.key()};
  return submissionOf(fields, database, std::move(call));
}

absl::StatusOr<CallerSubmission>
RequestReader::begin(const DatabaseId &database,
                     const std::string &body) const {
  BodyFields fields(body, Config, {"deadline_ms"});
  return submissionOf(fields, database, request::BeginCall{});
}

absl::StatusOr<CallerSubmission>
RequestReader::statement(const TransactionId &transaction,
                         const std::string &body) const {
  BodyFields fields(body, Config,
                    {"sequence", "statement", "parameters", "deadline_ms"});
  const auto sequence = sequenceOf(fields);
  return submissionOf(
      fields, request::databaseOf(transaction),
      request::StatementCall{transaction, sequence, fields.statement()});
}

absl::StatusOr<CallerSubmission>
RequestReader::commit(const TransactionId &transaction,
                      const std::string &body) const {
  BodyFields fields(body, Config, {"sequence", "deadline_ms"});
  const auto sequence = sequenceOf(fields);
  return submissionOf(fields, request::databaseOf(transaction),
                      request::CommitCall{transaction, sequence});
}

absl::StatusOr<CallerSubmission>
RequestReader::rollback(const TransactionId &transaction,
                        const std::string &body) const {
  BodyFields fields(body, Config, {"deadline_ms"});
  return submissionOf(fields, request::databaseOf(transaction),
                      request::RollbackCall{transaction});
}

} // namespace stepledge::api
