// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "entry/internal/BorrowCodec.h"

namespace stepledge::entry {

namespace {

Mark markOf(std::uint64_t term, std::uint64_t offset) {
  return {Term{term}, LogPosition{offset}};
}

} // namespace

void encodeCommand(const proxy::InstanceCommand &command,
                   peer::wire::BorrowedCommand &out) {
  out.set_kind(static_cast<std::uint32_t>(command.Kind));
  out.set_id(command.Id);
  if (const auto &minimum = command.MinimumPosition) {
    out.set_has_minimum(true);
    out.set_minimum_term(minimum->WrittenIn.Number);
    out.set_minimum_offset(minimum->Position.Offset);
  }
  out.set_name(command.Name);
  out.set_value(command.Value);
  out.set_mode(static_cast<std::uint32_t>(command.Mode));
  out.set_text(command.Text);
  out.set_shape(command.Shape);
  out.set_due(static_cast<std::uint32_t>(command.Due));
}

void encodeNeeds(TimePoint now, const proxy::BorrowNeeds &needs,
                 peer::wire::BorrowCall &out) {
  for (const auto &[name, value] : needs.Values) {
    auto &it = *out.add_values();
    it.set_name(name);
    it.set_value(value);
  }
  const auto &rank = needs.Rank;
  out.set_priority(rank.Priority);
  out.set_objective_us(rank.Objective.count());
  // NOTE: the proxy's own questions have no arrival; they are asked now.
  if (rank.ArrivedAt != TimePoint{})
    out.set_age_us((now - rank.ArrivedAt).count());
  out.set_needs_free_now(needs.NeedsFreeNow);
}

proxy::BorrowRequest decodeCall(TimePoint now,
                                const peer::wire::BorrowCall &call) {
  proxy::BorrowRequest request;
  request.Service = call.service();
  request.Instance = InstanceId(call.instance());
  if (call.has_organisation())
    request.Organisation = OrganisationId(call.organisation());
  request.IsFirst = call.is_first();
  for (const auto &it : call.commands()) {
    proxy::InstanceCommand command;
    command.Kind = static_cast<proxy::CommandKind>(it.kind());
    command.Id = it.id();
    if (it.has_minimum())
      command.MinimumPosition = markOf(it.minimum_term(), it.minimum_offset());
    command.Name = it.name();
    command.Value = it.value();
    command.Mode = static_cast<proxy::AccessMode>(it.mode());
    command.Text = it.text();
    command.Shape = it.shape();
    command.Due = static_cast<proxy::DueAnswer>(it.due());
    request.Commands.push_back(std::move(command));
  }
  for (const auto &it : call.values())
    request.Needs.Values[it.name()] = it.value();
  request.Needs.Rank = {call.priority(), Duration(call.objective_us()),
                        now - Duration(call.age_us()),
                        request.Organisation.value_or(OrganisationId())};
  request.Needs.NeedsFreeNow = call.needs_free_now();
  return request;
}

void encodeReply(const proxy::StatementReply &reply,
                 peer::wire::BorrowedReply &out) {
  out.set_code(static_cast<std::uint32_t>(reply.Code));
  for (const auto &it : reply.Rows)
    out.add_rows(it);
  out.set_signature(reply.Signature);
  out.set_detail(reply.Detail);
  out.set_state(static_cast<std::uint32_t>(reply.State));
  if (reply.Position) {
    out.set_has_position(true);
    out.set_position_term(reply.Position->WrittenIn.Number);
    out.set_position_offset(reply.Position->Position.Offset);
  }
}

proxy::StatementReply decodeReply(const peer::wire::BorrowedReply &reply) {
  proxy::StatementReply out;
  out.Code = static_cast<proxy::ReplyCode>(reply.code());
  out.Rows.assign(reply.rows().begin(), reply.rows().end());
  out.Signature = reply.signature();
  out.Detail = reply.detail();
  out.State = static_cast<proxy::SessionState>(reply.state());
  if (reply.has_position())
    out.Position = markOf(reply.position_term(), reply.position_offset());
  return out;
}

} // namespace stepledge::entry
