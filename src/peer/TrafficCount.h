// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What a VM has sent to others, by kind of message.

#ifndef STEPLEDGE_PEER_TRAFFICCOUNT_H
#define STEPLEDGE_PEER_TRAFFICCOUNT_H

#include "base/NameTable.h"
#include "peer/generated/Peer.pb.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace stepledge::peer {

using MessageKind = wire::Message::BodyCase;

/// For logs and metrics.
constexpr auto MessageKindNames = std::to_array<NameEntry<MessageKind>>({
    {MessageKind::kHello, "hello"},
    {MessageKind::kConsensus, "consensus"},
    {MessageKind::kInstances, "instances"},
    {MessageKind::kNotice, "notice"},
    {MessageKind::kConfigurationRequest, "configuration_request"},
    {MessageKind::kConfigurationPart, "configuration_part"},
    {MessageKind::kConfigurationHeld, "configuration_held"},
    {MessageKind::kSights, "sights"},
    {MessageKind::kCall, "call"},
    {MessageKind::kReply, "reply"},
    {MessageKind::kBorrowCall, "borrow_call"},
    {MessageKind::kBorrowReplies, "borrow_replies"},
    {MessageKind::kBorrowEnd, "borrow_end"},
    {MessageKind::kStillHere, "still_here"},
    {MessageKind::kQuotaAsk, "quota_ask"},
    {MessageKind::kQuotaGrant, "quota_grant"},
    {MessageKind::kInstancesWanted, "instances_wanted"},
    {MessageKind::kQuotaPresence, "quota_presence"},
    {MessageKind::kControlMembersWanted, "control_members_wanted"},
    {MessageKind::kControlMembers, "control_members"},
    {MessageKind::kPing, "ping"},
    {MessageKind::kPong, "pong"},
    {MessageKind::BODY_NOT_SET, "none"},
});

class TrafficCount {
public:
  struct Sent {
    std::uint64_t Messages = 0;
    std::uint64_t Bytes = 0;
  };

  void noteSent(const wire::Message &message) {
    auto &it = ByKind[message.body_case()];
    ++it.Messages;
    it.Bytes += message.ByteSizeLong();
  }
  const std::map<MessageKind, Sent> &byKind() const { return ByKind; }
  void add(const TrafficCount &other) {
    for (const auto &[kind, sent] : other.ByKind) {
      auto &it = ByKind[kind];
      it.Messages += sent.Messages;
      it.Bytes += sent.Bytes;
    }
  }
  /// "sent_KIND=MESSAGES/BYTES" of each kind, for a log line.
  std::string line() const {
    std::string text;
    for (const auto &[kind, it] : ByKind)
      text += " sent_" + std::string(nameIn(MessageKindNames, kind)) + "=" +
              std::to_string(it.Messages) + "/" + std::to_string(it.Bytes);
    return text;
  }

private:
  std::map<MessageKind, Sent> ByKind;
};

} // namespace stepledge::peer

#endif // STEPLEDGE_PEER_TRAFFICCOUNT_H
