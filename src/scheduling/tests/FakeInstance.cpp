// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "scheduling/tests/FakeInstance.h"

#include <algorithm>
#include <cmath>

namespace stepledge::scheduling::tests {

namespace {

/// A statement that has waited for this long is refused.
constexpr Duration MaxWait = milliseconds(700);
constexpr Duration MinWork = milliseconds(2);
constexpr Duration MaxWork = milliseconds(6);

} // namespace

double Outcome::weightedInTime() const {
  double requested = 0;
  double inTime = 0;
  for (const auto &[priority, it] : Priorities) {
    requested += it.Requested * std::pow(0.5, priority);
    inTime += it.InTime * std::pow(0.5, priority);
  }
  return inTime / requested;
}

std::vector<WaitRank> FakeInstance::arrivals(const std::vector<Demand> &demands,
                                             Duration time) {
  const TimePoint start(std::chrono::seconds(10));
  std::vector<WaitRank> all;
  for (const auto &it : demands) {
    // NOTE: one statement per period, so that an organisation that keeps to its
    // share does so at any time and not only on average.
    const double period = 1e6 / it.PerSecond;
    std::uniform_real_distribution<double> within(0, period);
    const auto length = static_cast<double>(time.count());
    for (double begin = within(Random) - period; begin < length;
         begin += period) {
      const double at = begin + within(Random);
      if (at >= 0 && at < length)
        all.push_back({it.Priority, it.Objective,
                       start + Duration(static_cast<std::int64_t>(at)),
                       it.Organisation});
    }
  }
  std::stable_sort(all.begin(), all.end(), [](const auto &a, const auto &b) {
    return a.ArrivedAt < b.ArrivedAt;
  });
  return all;
}

void FakeInstance::serve(TimePoint now, IServiceOrder &order) {
  std::erase_if(Waiting,
                [&](const auto &it) { return now - it.ArrivedAt > MaxWait; });
  for (auto &slot : Slots) {
    if (slot.IsBusy || Waiting.empty())
      continue;
    const auto next = static_cast<std::ptrdiff_t>(order.pick(now, Waiting));
    std::uniform_int_distribution<std::int64_t> work(MinWork.count(),
                                                     MaxWork.count());
    slot = {now + Duration(work(Random)), now, Waiting[next], true};
    Waiting.erase(Waiting.begin() + next);
  }
}

void FakeInstance::finish(TimePoint until, IServiceOrder &order) {
  for (;;) {
    auto slot = Slots.end();
    for (auto it = Slots.begin(); it != Slots.end(); ++it)
      if (it->IsBusy && (slot == Slots.end() || it->Until < slot->Until))
        slot = it;
    if (slot == Slots.end() || slot->Until > until)
      return;
    const TimePoint now = slot->Until;
    const auto &rank = slot->Rank;
    slot->IsBusy = false;
    for (auto *it : {&Result.Organisations[rank.Organisation],
                     &Result.Priorities[rank.Priority]}) {
      it->InTime += rank.isLate(now) ? 0 : 1;
      it->SlotTime += now - slot->Since;
    }
    order.noteUse(now, rank.Organisation, now - slot->Since);
    serve(now, order);
  }
}

Outcome FakeInstance::run(const std::vector<Demand> &demands, Duration time,
                          IServiceOrder &order) {
  Result = {};
  TimePoint end{};
  for (const auto &it : arrivals(demands, time)) {
    finish(it.ArrivedAt, order);
    ++Result.Organisations[it.Organisation].Requested;
    ++Result.Priorities[it.Priority].Requested;
    Waiting.push_back(it);
    serve(it.ArrivedAt, order);
    end = it.ArrivedAt;
  }
  finish(end + MaxWait, order);
  return Result;
}

} // namespace stepledge::scheduling::tests
