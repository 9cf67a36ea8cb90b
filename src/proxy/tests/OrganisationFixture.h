// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A proxy in front of one service, with clients of three organisations.

#ifndef STEPLEDGE_PROXY_TESTS_ORGANISATIONFIXTURE_H
#define STEPLEDGE_PROXY_TESTS_ORGANISATIONFIXTURE_H

#include "proxy/tests/ProxyFixture.h"

#include <string>

namespace stepledge::proxy::tests {

/// Organisations red, blue and green; the key of each is its name plus "-key".
struct OrganisationFixture : ProxyFixture {
  OrganisationFixture() : NextConfiguration(Core.configuration()) {
    NextConfiguration.HasOrganisations = true;
    for (const char *name : {"red", "blue", "green"}) {
      auto &it = NextConfiguration.Organisations[OrganisationId(name)];
      it.Id = OrganisationId(name);
      it.Keys = {KeyDigest::of(std::string(name) + "-key")};
    }
    applyNextConfiguration();
    warmUp();
  }

  void applyNextConfiguration() {
    ++NextConfiguration.Version;
    Core.applyConfiguration(Now, NextConfiguration);
    connectAll();
  }

  void removeKey(const char *organisation) {
    NextConfiguration.Organisations[OrganisationId(organisation)].Keys.clear();
    applyNextConfiguration();
  }

  ClientId connectWith(const char *database, const std::string &key) {
    const ClientId client{++LastClient};
    Core.clientConnected(Now, client, DatabaseId(database), KeyDigest::of(key));
    return client;
  }

  /// Returns the connection that carries the write.
  ConnectionId sendWrite(ClientId client, const char *text) {
    ask(client, StatementKind::Write, text);
    answerProxyCommands(markOf(3, 100));
    const auto carrier = carrierOf(text);
    REQUIRE(carrier);
    return *carrier;
  }

  void losePrimary() {
    membership::InstanceRecord record;
    record.Id = InstanceId("p");
    record.Service = "db";
    record.Address = "10.0.0.1:1";
    record.Hall = HallId("a");
    record.State = membership::InstanceState::Gone;
    record.Sequence = 2;
    Core.applyInstance(Now, record);
  }

  int ownOpen(const std::string &instance) const {
    int n = 0;
    for (const auto &[id, target] : Io.Opened)
      n += target.Instance.str() == instance && !target.isBorrowed();
    return n;
  }

  /// The configuration that applyNextConfiguration() applies.
  control::Configuration NextConfiguration;
};

} // namespace stepledge::proxy::tests

#endif // STEPLEDGE_PROXY_TESTS_ORGANISATIONFIXTURE_H
