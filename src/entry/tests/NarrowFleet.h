// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A control group and one entry VM behind a narrow link, with a small
/// request on the same link each 50 ms.

#ifndef STEPLEDGE_ENTRY_TESTS_NARROWFLEET_H
#define STEPLEDGE_ENTRY_TESTS_NARROWFLEET_H

#include "control/tests/FakeControls.h"
#include "entry/EntryNode.h"
#include "entry/tests/NarrowLink.h"
#include "proxy/tests/FakeIo.h"

#include "quota/tests/FakeQuota.h"

#include <map>
#include <memory>
#include <string>

namespace stepledge::entry::tests {

class NarrowFleet {
public:
  NarrowFleet();
  ~NarrowFleet();
  NarrowFleet(const NarrowFleet &) = delete;
  NarrowFleet &operator=(const NarrowFleet &) = delete;

  /// An operator sends \p document; waits until it is acknowledged.
  void put(std::uint64_t version, const std::string &document);
  /// The entry VM's process starts, with nothing.
  void startEntry();
  /// All processes lose power, and come back connected to each other.
  void restartAll();
  void run(Duration time);
  /// Until the entry VM holds \p version, \p limit at most; how long it took.
  Duration runUntilHeld(std::uint64_t version, Duration limit);
  /// Until it serves clients.
  Duration runUntilReady(Duration limit);

  bool isReady() const { return Entry && Entry->Node.isReady(); }
  std::uint64_t heldVersion() const;
  const proxy::Proxy &proxy() const { return Entry->Core; }
  TimePoint now() const { return Controls.now(); }

  /// From here on what was seen counts anew.
  void resetFigures();
  /// Connections between the entry VM and control VMs that were given up.
  int connectionsLost() const { return Lost; }
  /// How long the VM was not ready.
  Duration notReady() const { return NotReadyFor; }
  /// How long the slowest small request was on its way.
  Duration slowestRequest() const { return SlowestRequest; }
  std::uint64_t bytesReceived() const { return Link.bytesThrough() - Through; }

private:
  struct EntryVm : public peer::IPeerSender {
    explicit EntryVm(NarrowFleet &fleet);
    bool send(const std::string &ip,
              const peer::wire::Message &message) override;
    void keepConnected(const std::set<std::string> &ips) override { (void)ips; }

    NarrowFleet &Fleet;
    proxy::tests::FakeIo Io;
    quota::tests::FakeQuota Quota;
    proxy::Proxy Core;
    EntryNode Node;
  };

  void step();
  void connect(std::size_t vm);
  void lose(std::size_t vm);
  void toEntry(std::size_t vm, const peer::wire::Message &message);
  void sendRequest();

  control::tests::FakeControls Controls;
  NarrowLink Link;
  std::unique_ptr<EntryVm> Entry;
  /// By control VM, when the last whole message came from it.
  std::map<std::size_t, TimePoint> HeardAt;
  std::uint64_t Life = 0;
  TimePoint RequestAt{};
  int Lost = 0;
  Duration NotReadyFor{};
  Duration SlowestRequest{};
  std::uint64_t Through = 0;
};

} // namespace stepledge::entry::tests

#endif // STEPLEDGE_ENTRY_TESTS_NARROWFLEET_H
