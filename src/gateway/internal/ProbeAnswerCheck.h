// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Whether a reply can be the answer to a control VM's question. Replies
/// carry no id, and an instance may answer a question twice.

#ifndef STEPLEDGE_GATEWAY_INTERNAL_PROBEANSWERCHECK_H
#define STEPLEDGE_GATEWAY_INTERNAL_PROBEANSWERCHECK_H

#include "base/NameTable.h"
#include "gateway/ILineCodec.h"

#include <array>
#include <optional>

namespace stepledge::gateway {

enum class QuestionKind {
  Status,
  Pause,
  Resume,
  Demote,
  Ping,
};

/// Why a reply can't be the answer to the oldest question.
enum class ProbeFault {
  /// The lines were no answer, or nothing was asked.
  Malformed,
  /// An answer to such a question looks different.
  UnexpectedShape,
  /// The instance's log was longer at an earlier answer, or of a later term.
  EarlierPosition,
};

/// For logs.
constexpr auto ProbeFaultNames = std::to_array<NameEntry<ProbeFault>>({
    {ProbeFault::Malformed, "malformed"},
    {ProbeFault::UnexpectedShape, "unexpected_shape"},
    {ProbeFault::EarlierPosition, "earlier_position"},
});

constexpr std::string_view nameOf(ProbeFault fault) {
  return nameIn(ProbeFaultNames, fault);
}

/// What one connection has answered so far.
class ProbeAnswerCheck {
public:
  explicit ProbeAnswerCheck(const ILineCodec &codec) : Codec(codec) {}

  /// Checks the answer to a question of \p kind, and notes it.
  std::optional<ProbeFault> check(QuestionKind kind,
                                  const proxy::StatementReply &reply);

private:
  bool hasShapeOf(QuestionKind kind, const proxy::StatementReply &reply) const;

  const ILineCodec &Codec;
  Mark NewestReceived;
};

} // namespace stepledge::gateway

#endif // STEPLEDGE_GATEWAY_INTERNAL_PROBEANSWERCHECK_H
