// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Which services a VM watches where there are few, and where many.

#include "proxy/internal/ServiceWatch.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::proxy;

namespace {

constexpr int VmCount = 30;

std::vector<membership::EntryVm> entries() {
  std::vector<membership::EntryVm> all;
  all.reserve(VmCount);
  for (int i = 0; i < VmCount; ++i)
    all.push_back(
        {"10.0.0." + std::to_string(i), HallId("h" + std::to_string(i % 3))});
  return all;
}

ServiceWatch watchOf(int vm, int services) {
  const auto all = entries();
  const auto &self = all[static_cast<std::size_t>(vm)];
  ServiceWatch watch(self.Ip, self.Hall);
  watch.setEntries(all);
  for (int i = 0; i < services; ++i)
    watch.addService("s" + std::to_string(i));
  return watch;
}

const TimePoint Start(std::chrono::seconds(10));

} // namespace

TEST_CASE("ServiceWatch_FewServicesAreAllWatched") {
  auto watch = watchOf(0, 20);
  CHECK(watch.watched(Start).size() == 20);
}

TEST_CASE("ServiceWatch_EachOfManyHasAnObserverInEachHall") {
  constexpr int Services = 300;
  std::map<std::string, int> observers;
  std::size_t most = 0;
  for (int vm = 0; vm < VmCount; ++vm) {
    auto watch = watchOf(vm, Services);
    for (const auto &it : watch.watched(Start))
      ++observers[it];
    most = std::max(most, watch.watched(Start).size());
  }
  CHECK(observers.size() == Services);
  for (const auto &[service, n] : observers)
    CHECK(n == 3);
  // 30 on average; without the selection each VM would watch all 300.
  CHECK(most <= 60);
}

TEST_CASE("ServiceWatch_OneOfManyIsWatchedWhileItIsUsed") {
  auto watch = watchOf(0, 300);
  const auto before = watch.watched(Start);
  std::string unused;
  for (int i = 0; unused.empty(); ++i)
    if (!before.contains("s" + std::to_string(i)))
      unused = "s" + std::to_string(i);
  watch.noteStatement(Start, unused);
  CHECK(watch.watched(Start).contains(unused));
  TimePoint now = Start;
  for (int i = 0; i < 20; ++i) {
    now += milliseconds(500);
    watch.noteStatement(now, unused);
    CHECK(watch.watched(now).contains(unused));
  }
  now += milliseconds(10000);
  CHECK(watch.watched(now) == before);
}
