// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The lines that clients and instances speak, to and from the product's
/// types. It has no state and no sockets.

#ifndef STEPLEDGE_GATEWAY_ILINECODEC_H
#define STEPLEDGE_GATEWAY_ILINECODEC_H

#include "control/IPromoter.h"
#include "gateway/types/ClientCall.h"
#include "proxy/types/InstanceCommand.h"
#include "proxy/types/StatementReply.h"

#include <memory>
#include <optional>
#include <string>

namespace stepledge::gateway {

/// Stands for lines that are no answer. Whoever doesn't look at that is
/// promised nothing, and uses the connection no further.
inline proxy::StatementReply malformedReply() {
  proxy::StatementReply reply;
  reply.Code = proxy::ReplyCode::Other;
  reply.State = proxy::SessionState::Failed;
  reply.IsMalformed = true;
  return reply;
}

/// Gathers the lines of one instance into whole replies.
class IReplyReader {
public:
  virtual ~IReplyReader() = default;

  /// A reply, at the line that ends it; a malformed one at the line that can't
  /// be part of an answer, and none after that.
  virtual std::optional<proxy::StatementReply>
  take(const std::string &line) = 0;
  /// An error that no further line has followed: the connection was refused.
  virtual std::optional<proxy::StatementReply> takeUnfinished() = 0;
};

class ILineCodec {
public:
  virtual ~ILineCodec() = default;

  virtual ClientCall parseClientLine(const std::string &line) const = 0;
  /// All lines of the answer to one statement.
  virtual std::string formatReply(const proxy::StatementReply &reply) const = 0;
  /// The answer to a client that has connected.
  virtual std::string formatAccepted() const = 0;
  /// The answer to one that is refused.
  virtual std::string
  formatRejected(const proxy::StatementReply &reply) const = 0;

  /// The greeting to an instance; an empty \p organisation stands for the
  /// product itself. It is empty if a name can't be written as one field: the
  /// rest of the name would be read as something else.
  virtual std::string formatConnect(const std::string &service,
                                    const OrganisationId &organisation,
                                    const std::string &instance) const = 0;
  /// Empty in the same cases, and if a text would end its line.
  virtual std::string
  formatCommand(const proxy::InstanceCommand &command) const = 0;
  virtual std::unique_ptr<IReplyReader> makeReplyReader() const = 0;

  /// The question for an instance's role and log, and its answer.
  virtual std::string formatStatusQuestion() const = 0;
  virtual std::optional<control::InstanceStatus>
  parseStatus(const proxy::StatementReply &reply) const = 0;
  /// A replica is to receive nothing more, and to receive again.
  virtual std::string formatPause(Term term) const = 0;
  virtual std::string formatResume() const = 0;
  virtual std::string formatDemote(Term term) const = 0;
};

} // namespace stepledge::gateway

#endif // STEPLEDGE_GATEWAY_ILINECODEC_H
