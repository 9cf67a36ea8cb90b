// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// Parts start in order, failures are tried again within limits, and parts
// stop in the opposite order.

#include "daemon/Supervisor.h"

#include <doctest/doctest.h>

#include <stdexcept>

using namespace stepledge;
using namespace stepledge::daemon;

namespace {

class QuietLog : public observe::ILog {
public:
  void debug(observe::Part, const std::string &) override {}
  void info(observe::Part, const std::string &) override {}
  void warning(observe::Part, const std::string &) override {}
  void error(observe::Part, const std::string &) override {}
};

class FakePart : public ISupervised {
public:
  FakePart(std::string name, int failures, std::vector<std::string> &events)
      : Name(std::move(name)), Failures(failures), Events(events) {}

  std::string name() const override { return Name; }
  void start() override {
    if (Failures-- > 0)
      throw std::runtime_error("not yet");
    Events.push_back("start " + Name);
  }
  void stop() override { Events.push_back("stop " + Name); }

private:
  std::string Name;
  int Failures;
  std::vector<std::string> &Events;
};

struct Fixture {
  QuietLog Log;
  TimePoint Now;
  std::vector<std::pair<TimePoint, std::function<void()>>> Scheduled;
  std::vector<std::string> Events;
  std::string GivenUp;
  Supervisor Root{"root", Log, [this] { return Now; },
                  [this](TimePoint at, std::function<void()> action) {
                    Scheduled.emplace_back(at, std::move(action));
                  },
                  [this](const std::string &reason) { GivenUp = reason; }};

  void add(const std::string &name, int failures) {
    Root.add(std::make_unique<FakePart>(name, failures, Events));
  }

  void runScheduled() {
    while (!Scheduled.empty()) {
      auto next = std::move(Scheduled.front());
      Scheduled.erase(Scheduled.begin());
      Now = next.first;
      next.second();
    }
  }
};

using Lines = std::vector<std::string>;

} // namespace

TEST_CASE("Supervisor_StartsInOrderAndStopsInTheOpposite") {
  Fixture fixture;
  fixture.add("a", 0);
  fixture.add("b", 0);
  fixture.Root.start();
  CHECK(fixture.Root.allRunning());
  fixture.Root.stop();
  CHECK(fixture.Events == Lines{"start a", "start b", "stop b", "stop a"});
}

TEST_CASE("Supervisor_TriesAgainWhatFails") {
  Fixture fixture;
  fixture.add("a", 3);
  fixture.Root.start();
  CHECK_FALSE(fixture.Root.allRunning());
  fixture.runScheduled();
  CHECK(fixture.Root.allRunning());
  CHECK(fixture.Now == TimePoint(milliseconds(100 + 200 + 400)));
}

TEST_CASE("Supervisor_GivesUpAfterTooManyFailures") {
  Fixture fixture;
  fixture.add("a", 1000);
  fixture.Root.start();
  fixture.runScheduled();
  CHECK(fixture.GivenUp == "a failed too often");
}

TEST_CASE("Supervisor_StartsNothingOnceStopped") {
  Fixture fixture;
  fixture.add("a", 1);
  fixture.Root.start();
  fixture.Root.stop();
  fixture.runScheduled();
  CHECK(fixture.Events.empty());
}
