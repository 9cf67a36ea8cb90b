// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file How long heartbeats wait behind a large message on a narrow link.

#include "entry/tests/NarrowLink.h"
#include "peer/internal/FrameQueue.h"
#include "peer/internal/FrameReader.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace stepledge;
using namespace stepledge::peer;

namespace {

/// As the narrowest link that a VM was seen with.
constexpr std::size_t NarrowRate = 250'000;
constexpr std::size_t LargeBytes = 800 << 10;
/// What the kernel takes of a connection before it is on its way.
constexpr std::size_t KernelBytes = 64 << 10;
constexpr Duration Step = milliseconds(1);
constexpr Duration HeartbeatInterval = milliseconds(100);

/// One side's queue, the way, and the other side's reader.
class NarrowConnection {
public:
  void push(const std::string &body, FrameOrder order) {
    REQUIRE(Queue.push(body, order));
    write();
  }
  /// Lets a step's time pass.
  void step() {
    Now += Step;
    Link.run(Step);
  }
  TimePoint now() const { return Now; }
  bool isBroken() const { return Reader.isBroken(); }

  Duration LongestWait{};
  TimePoint LargeCameAt{};
  int Heartbeats = 0;

private:
  void write() {
    while (InKernel < KernelBytes) {
      const std::string bytes = Queue.next();
      if (bytes.empty())
        return;
      InKernel += bytes.size();
      Link.send(0, bytes.size(), [this, bytes] {
        InKernel -= bytes.size();
        Reader.add(bytes);
        take();
        write();
      });
    }
  }
  void take() {
    while (const auto it = Reader.next()) {
      if (it->size() >= LargeBytes) {
        LargeCameAt = Now;
        continue;
      }
      ++Heartbeats;
      const TimePoint sentAt(milliseconds(std::stoll(std::string(*it))));
      LongestWait = std::max<Duration>(LongestWait, Now - sentAt);
    }
  }

  entry::tests::NarrowLink Link{NarrowRate};
  FrameQueue Queue;
  FrameReader Reader;
  std::size_t InKernel = 0;
  TimePoint Now = TimePoint(milliseconds(1000));
};

} // namespace

TEST_CASE("Framing_HeartbeatsPassALargeMessageOnANarrowLink") {
  NarrowConnection connection;
  const TimePoint start = connection.now();
  connection.push(std::string(LargeBytes, 'x'), FrameOrder::MayBeOvertaken);
  const Duration all = milliseconds(4000);
  for (Duration at{}; at < all; at += Step) {
    if (at % HeartbeatInterval == Duration{}) {
      const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
          connection.now().time_since_epoch());
      connection.push(std::to_string(ms.count()), FrameOrder::MayBeOvertaken);
    }
    connection.step();
  }
  const double longest = toMilliseconds(connection.LongestWait);
  const double large = toMilliseconds(connection.LargeCameAt - start);
  CAPTURE(longest);
  CAPTURE(large);
  CHECK(!connection.isBroken());
  CHECK(connection.Heartbeats == 40);
  // Followers stand for election after 500 to 1,000 ms without a heartbeat.
  CHECK(longest < 350.0);
  // 3.28 s is what its bytes take.
  CHECK(large < 3350.0);
}
