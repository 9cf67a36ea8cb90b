// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Tells a listener that decides the present time before each event.

#ifndef STEPLEDGE_PEER_TIMEDLISTENER_H
#define STEPLEDGE_PEER_TIMEDLISTENER_H

#include "base/types/Time.h"
#include "peer/IPeerListener.h"

#include <functional>
#include <string>
#include <utility>

namespace stepledge::peer {

/// \p Target is an IPeerListener with setTime(TimePoint).
template <typename Target> class TimedListener : public IPeerListener {
public:
  using ReadClock = std::function<TimePoint()>;

  /// \p target may be constructed later, but before the first event.
  TimedListener(Target &target, ReadClock clock)
      : Listener(target), Clock(std::move(clock)) {}

  void peerConnected(const std::string &ip, const wire::Hello &hello) override {
    Listener.setTime(Clock());
    Listener.peerConnected(ip, hello);
  }
  void peerLost(const std::string &ip, LinkEnd end) override {
    Listener.setTime(Clock());
    Listener.peerLost(ip, end);
  }
  void peerHeard(const std::string &ip) override {
    Listener.setTime(Clock());
    Listener.peerHeard(ip);
  }
  void peerSaid(const std::string &ip, const wire::Message &message) override {
    Listener.setTime(Clock());
    Listener.peerSaid(ip, message);
  }

private:
  Target &Listener;
  ReadClock Clock;
};

} // namespace stepledge::peer

#endif // STEPLEDGE_PEER_TIMEDLISTENER_H
