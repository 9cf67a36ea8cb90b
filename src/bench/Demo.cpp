// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "bench/BenchModule.h"

#include "bench/internal/CallerClient.h"

#include <chrono>
#include <ostream>
#include <thread>

namespace stepledge::bench {

namespace {

constexpr double StartSeconds = 10;
constexpr int BrowseAgeMs = 2000;

/// Prints each step and keeps whether all were as promised.
class Story {
public:
  explicit Story(std::ostream &out) : Out(out) {}

  void tell(const std::string &line) { Out << line << std::endl; }

  bool expect(bool holds, const std::string &line) {
    Out << (holds ? "  ok: " : "  NOT AS PROMISED: ") << line << std::endl;
    AllHeld = AllHeld && holds;
    return holds;
  }

  bool allHeld() const { return AllHeld; }

private:
  std::ostream &Out;
  bool AllHeld = true;
};

std::string sourceOf(const CallerReply &reply) {
  if (!reply.ran())
    return reply.Body.dump();
  auto out = reply.Body.value("answered_by", "?");
  if (reply.fromReplica())
    out += ", a replica";
  if (reply.Body.contains("age_ms"))
    out +=
        ", at most " +
        std::to_string(static_cast<int>(reply.Body["age_ms"].get<double>())) +
        " ms old";
  return out;
}

void explain(Story &story, CallerClient &client, const CallerReply &reply) {
  const auto id = reply.Body.value("decision", "");
  const auto body =
      nlohmann::json::parse(client.get("/v1/explain/" + id), nullptr, false);
  if (!body.is_object() || !body.contains("explanation"))
    return;
  for (const auto &it : body["explanation"])
    story.tell("    " + it.get<std::string>());
}

} // namespace

int runDemo(const TrialPlaces &places, std::ostream &out) {
  Story story(out);
  story.tell("A group of 3 instances and 3 daemons in 3 halls, on loopback.");
  Cluster cluster({}, places);
  if (!story.expect(cluster.waitReady(StartSeconds), "all daemons serve"))
    return 1;

  CallerClient ann(cluster.callers(0));
  ann.write("bookings",
            "CREATE TABLE booking (slot TEXT PRIMARY KEY, who TEXT)");
  story.tell("Ann books the slot mon-9 through the VM in vastra-a.");
  const std::vector<std::string> slot = {"mon-9", "ann"};
  const std::string insert = "INSERT INTO booking VALUES ($1, $2)";
  const auto booked = ann.write("bookings", insert, slot, "ann-mon-9");
  story.expect(booked.ran(), "booked by " + sourceOf(booked));
  const auto again = ann.write("bookings", insert, slot, "ann-mon-9");
  story.expect(again.ran() && again.Body.value("replayed", false),
               "the same request sent again is answered as recorded, not "
               "run again");

  story.tell("Her session moves to the VM in vastra-b and reads.");
  ann.moveTo(cluster.callers(1));
  const std::string select = "SELECT who FROM booking WHERE slot = 'mon-9'";
  const auto seen = ann.read("bookings", select, {}, BrowseAgeMs);
  story.expect(seen.cell() == "ann",
               "she sees her booking, from " + sourceOf(seen));
  explain(story, ann, seen);

  story.tell("Bob browses through the VM in vastra-c; data 2 s old will do.");
  CallerClient bob(cluster.callers(2));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const auto browsed = bob.read("bookings", select, {}, BrowseAgeMs);
  story.expect(browsed.ran() && browsed.fromReplica(),
               "answered by " + sourceOf(browsed));

  story.tell("Carl wants the same slot.");
  CallerClient carl(cluster.callers(2));
  const auto refused =
      carl.write("bookings", insert, {"mon-9", "carl"}, "carl-mon-9");
  story.expect(refused.notRun(),
               "refused, and not run: " + refused.Body.value("detail", ""));

  const auto lost = browsed.Body.value("answered_by", "bookings-2");
  story.tell("The replica " + lost + " is killed.");
  cluster.instance(lost).kill();
  const auto after = bob.read("bookings", select, {}, BrowseAgeMs);
  story.expect(after.ran() && after.cell() == "ann",
               "browsing goes on, at " + sourceOf(after));
  const auto written =
      ann.write("bookings", insert, {"tue-9", "ann"}, "ann-tue-9");
  story.expect(written.ran(),
               "booking goes on, held by the remaining majority");
  const auto own =
      ann.read("bookings", "SELECT who FROM booking WHERE slot = 'tue-9'", {},
               BrowseAgeMs);
  story.expect(own.cell() == "ann", "and she sees it, from " + sourceOf(own));

  story.tell("All daemons are asked to stop.");
  for (int vm = 0; vm < 3; ++vm)
    cluster.daemon(vm).sendTerm();
  bool orderly = true;
  for (int vm = 0; vm < 3; ++vm)
    orderly = cluster.daemon(vm).wait() == 0 && orderly;
  story.expect(orderly, "each finished what it had and ended by itself");
  return story.allHeld() ? 0 : 1;
}

} // namespace stepledge::bench
