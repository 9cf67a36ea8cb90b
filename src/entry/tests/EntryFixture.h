// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file One entry VM whose control VMs, instances and clients a test plays.

#ifndef STEPLEDGE_ENTRY_TESTS_ENTRYFIXTURE_H
#define STEPLEDGE_ENTRY_TESTS_ENTRYFIXTURE_H

#include "entry/EntryNode.h"

#include "distribution/DeltaCodec.h"
#include "proxy/tests/FakeIo.h"
#include "quota/tests/FakeQuota.h"

#include <string>
#include <utility>
#include <vector>

namespace stepledge::entry::tests {

/// Keeps what is sent to control VMs.
class SentToControl : public peer::IPeerSender {
public:
  bool send(const std::string &ip,
            const peer::wire::Message &message) override {
    Sent.emplace_back(ip, message);
    if (message.has_configuration_request())
      LastRequest = message.configuration_request();
    return true;
  }
  void keepConnected(const std::set<std::string> &ips) override { Ips = ips; }

  std::vector<std::pair<std::string, peer::wire::Message>> Sent;
  std::set<std::string> Ips;
  peer::wire::ConfigurationRequest LastRequest;
};

struct EntryFixture {
  EntryFixture()
      : Core({}, Io, Io, Io, Quota), Node(options(), Core, Control, Io) {
    Node.tick(Now);
  }

  static EntryOptions options() {
    EntryOptions options;
    options.Ip = "10.1.0.1";
    options.SeedIps = {"10.0.0.1", "10.0.0.2"};
    return options;
  }

  void notice(std::uint64_t version, bool isFresh) {
    noticeOf("10.0.0.1", version, isFresh);
  }

  void noticeOf(const std::string &ip, std::uint64_t version, bool isFresh) {
    peer::wire::Message message;
    message.mutable_notice()->set_configuration_version(version);
    message.mutable_notice()->set_is_fresh(isFresh);
    Node.peerSaid(ip, message);
  }

  /// With one route, for the database "orders".
  void giveWhole(std::uint64_t version) {
    control::Configuration configuration;
    configuration.Version = version;
    configuration.Services["db"] = {"db", 23, 0};
    control::Route route;
    route.Database = DatabaseId("orders");
    route.Service = "db";
    route.Policy = control::ReadPolicy::Current;
    route.StatementTimeout = milliseconds(800);
    route.LatencyObjective = milliseconds(250);
    configuration.Routes[route.Database] = route;
    giveChange(distribution::deltaBetween({}, configuration));
  }

  void giveChange(const distribution::ConfigurationDelta &change) {
    const auto bytes = distribution::encodeDelta(change);
    peer::wire::Message message;
    auto &part = *message.mutable_configuration_part();
    part.set_fetch(Control.LastRequest.fetch());
    part.set_total(bytes.size());
    part.set_body(bytes);
    Node.peerSaid("10.0.0.1", message);
  }

  bool hasAsked() {
    bool asked = false;
    for (const auto &[ip, message] : Control.Sent)
      asked |= message.has_configuration_request();
    Control.Sent.clear();
    return asked;
  }

  void addPrimary() {
    peer::wire::Message message;
    auto &it = *message.mutable_instances()->add_instances();
    it.set_id("p");
    it.set_service("db");
    it.set_address("10.2.0.1:1");
    it.set_is_primary(true);
    it.set_sequence(1);
    Node.peerSaid("10.0.0.1", message);
  }

  void connect(proxy::ClientId client) {
    Core.clientConnected(Now, client, DatabaseId("orders"));
  }

  void ask(proxy::ClientId client, proxy::StatementKind kind,
           const std::string &text) {
    proxy::ClientStatement statement;
    statement.Id = "id-" + text;
    statement.Kind = kind;
    statement.Text = text;
    Core.statementReceived(Now, client, std::move(statement));
  }

  /// Neither the primary nor a majority of the control VMs is heard, the own
  /// hall's control VM is.
  void cutOffFor(Duration time) {
    constexpr Duration Step = milliseconds(100);
    for (const TimePoint end = Now + time; Now < end;) {
      advance(Step);
      notice(Core.configurationVersion(), false);
    }
  }

  void advance(Duration time) {
    Now += time;
    Node.tick(Now);
  }

  /// The sights that were told since the last call.
  std::vector<peer::wire::PrimarySights> toldSights() {
    std::vector<peer::wire::PrimarySights> told;
    for (const auto &[ip, message] : std::exchange(Control.Sent, {}))
      if (message.has_sights())
        told.push_back(message.sights());
    return told;
  }

  proxy::tests::FakeIo Io;
  SentToControl Control;
  TimePoint Now = TimePoint(std::chrono::seconds(5));
  quota::tests::FakeQuota Quota;
  proxy::Proxy Core;
  EntryNode Node;
};

} // namespace stepledge::entry::tests

#endif // STEPLEDGE_ENTRY_TESTS_ENTRYFIXTURE_H
