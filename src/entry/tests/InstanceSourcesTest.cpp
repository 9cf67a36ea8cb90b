// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Which control VMs an entry VM hears of instances from.

#include "entry/InstanceSources.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace stepledge;
using namespace stepledge::entry;

namespace {

using Ips = std::set<std::string>;
const TimePoint Start(std::chrono::seconds(10));

} // namespace

TEST_CASE("InstanceSources_TwoAreAskedAtOnce") {
  InstanceSources sources;
  for (const char *ip : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
    sources.connected(Start, ip);
  CHECK(sources.review(Start).Wanted.size() == 2);
  const auto next = sources.review(Start + milliseconds(100));
  CHECK(next.Wanted.empty());
  CHECK(next.Unwanted.empty());
}

TEST_CASE("InstanceSources_LostOneIsReplaced") {
  InstanceSources sources;
  for (const char *ip : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
    sources.connected(Start, ip);
  sources.review(Start);
  const std::string gone = *sources.sources().begin();
  sources.lost(gone);
  CHECK(sources.review(Start).Wanted.size() == 1);
  CHECK(sources.sources().size() == 2);
  CHECK_FALSE(sources.sources().contains(gone));
}

TEST_CASE("InstanceSources_OneConnectedAnewIsAskedAnew") {
  InstanceSources sources;
  sources.connected(Start, "10.0.0.1");
  CHECK(sources.review(Start).Wanted == Ips{"10.0.0.1"});
  sources.connected(Start, "10.0.0.1");
  CHECK(sources.review(Start).Wanted == Ips{"10.0.0.1"});
}

TEST_CASE("InstanceSources_CutOffOneGoesForAFreshOneOnly") {
  InstanceSources sources;
  for (const char *ip : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
    sources.connected(Start, ip);
  sources.review(Start);
  CHECK(sources.sources() == Ips{"10.0.0.1", "10.0.0.2"});
  // The first is cut off from the others, and goes on speaking.
  const TimePoint later = Start + milliseconds(4000);
  sources.heardFresh(later, "10.0.0.2");
  CHECK(sources.review(later).Wanted.empty());
  sources.heardFresh(later, "10.0.0.3");
  const auto change = sources.review(later);
  CHECK(change.Wanted == Ips{"10.0.0.3"});
  CHECK(change.Unwanted == Ips{"10.0.0.1"});
}

TEST_CASE("InstanceSources_WithoutAFreshOneTheNewestIsAsked") {
  InstanceSources sources;
  for (const char *ip : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
    sources.connected(Start, ip);
  sources.review(Start);
  sources.heardFresh(Start + milliseconds(100), "10.0.0.3");
  sources.lost("10.0.0.1");
  sources.lost("10.0.0.2");
  CHECK(sources.review(Start + milliseconds(5000)).Wanted == Ips{"10.0.0.3"});
}

TEST_CASE("InstanceSources_FullLinksDontMakeItAskAgainAndAgain") {
  InstanceSources sources;
  const std::vector<std::string> ips{"10.0.0.1", "10.0.0.2", "10.0.0.3",
                                     "10.0.0.4", "10.0.0.5"};
  for (const auto &ip : ips)
    sources.connected(Start, ip);
  std::size_t asked = sources.review(Start).Wanted.size();
  // Notices come late and from one control VM after the other.
  for (int i = 0; i < 1000; ++i) {
    const TimePoint now = Start + milliseconds(10) * i;
    if (i % 100 == 0)
      sources.heardFresh(now, ips[static_cast<std::size_t>(i / 100) % 5]);
    asked += sources.review(now).Wanted.size();
  }
  CHECK(asked <= 4);
}
