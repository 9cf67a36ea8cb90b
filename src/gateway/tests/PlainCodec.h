// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A line protocol of a few words, for tests of sockets.

#ifndef STEPLEDGE_GATEWAY_TESTS_PLAINCODEC_H
#define STEPLEDGE_GATEWAY_TESTS_PLAINCODEC_H

#include "gateway/ILineCodec.h"

namespace stepledge::gateway::tests {

/// Clients say "connect DATABASE", "quit" or "write TEXT"; instances answer
/// "ok", a signature or "full", after any "row TEXT"; "gone" before they refuse
/// a connection, and "nonsense" for what is no answer. A status is the row
/// "replica POSITION". A service with a blank and the text "unsendable" can't
/// be written.
class PlainCodec : public ILineCodec {
public:
  ClientCall parseClientLine(const std::string &line) const override;
  std::string formatReply(const proxy::StatementReply &reply) const override;
  std::string formatAccepted() const override { return "welcome\r\n"; }
  std::string formatRejected(const proxy::StatementReply &reply) const override;
  std::string formatConnect(const std::string &service,
                            const OrganisationId &organisation,
                            const std::string &instance) const override;
  std::string
  formatCommand(const proxy::InstanceCommand &command) const override;
  std::unique_ptr<IReplyReader> makeReplyReader() const override;
  std::string formatStatusQuestion() const override { return "status\r\n"; }
  std::optional<control::InstanceStatus>
  parseStatus(const proxy::StatementReply &reply) const override;
  std::string formatPause(Term term) const override;
  std::string formatResume() const override { return "resume\r\n"; }
  std::string formatDemote(Term term) const override;
};

} // namespace stepledge::gateway::tests

#endif // STEPLEDGE_GATEWAY_TESTS_PLAINCODEC_H
