// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "gateway/internal/ProbeAnswerCheck.h"

namespace stepledge::gateway {

std::optional<ProbeFault>
ProbeAnswerCheck::check(QuestionKind kind, const proxy::StatementReply &reply) {
  if (reply.IsMalformed)
    return ProbeFault::Malformed;
  if (!hasShapeOf(kind, reply))
    return ProbeFault::UnexpectedShape;
  const auto status = Codec.parseStatus(reply);
  if (!status)
    return std::nullopt;
  // NOTE: the newest known term may go back: a pause holds one until it ends.
  if (status->Received < NewestReceived)
    return ProbeFault::EarlierPosition;
  NewestReceived = status->Received;
  return std::nullopt;
}

bool ProbeAnswerCheck::hasShapeOf(QuestionKind kind,
                                  const proxy::StatementReply &reply) const {
  if (!reply.Signature.empty())
    return false;
  const bool isStatus = Codec.parseStatus(reply).has_value();
  if (reply.Code != proxy::ReplyCode::Success || kind == QuestionKind::Ping)
    return reply.Rows.empty();
  // NOTE: the protocol doesn't say whether RESUME answers the row as well.
  return isStatus || (kind == QuestionKind::Resume && reply.Rows.empty());
}

} // namespace stepledge::gateway
