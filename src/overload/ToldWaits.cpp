// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "overload/ToldWaits.h"

#include <algorithm>

namespace stepledge::overload {

void ToldWaits::note(TimePoint now, const InstanceId &instance,
                     const std::string &lender, const Urgency &urgency,
                     Duration wait) {
  auto &word = Words[instance][lender];
  std::erase_if(word.Waits,
                [&](const auto &it) { return it.second.Expires <= now; });
  const Wait told{now + wait, now + std::min(wait, Options.MostBelieved)};
  // NOTE: the newest report applies, and a more urgent borrow waits no longer.
  for (auto it = word.Waits.begin();
       it != word.Waits.end() && it->first < urgency; ++it)
    it->second = {std::min(it->second.Until, told.Until),
                  std::min(it->second.Expires, told.Expires)};
  word.Waits[urgency] = told;
  word.ToldAt = now;
}

const ToldWaits::Word *ToldWaits::find(const InstanceId &instance,
                                       const std::string &lender) const {
  const auto lenders = Words.find(instance);
  if (lenders == Words.end())
    return nullptr;
  const auto word = lenders->second.find(lender);
  return word == lenders->second.end() ? nullptr : &word->second;
}

Duration ToldWaits::left(TimePoint now, const InstanceId &instance,
                         const std::string &lender,
                         const Urgency &urgency) const {
  Duration longest{};
  const auto *word = find(instance, lender);
  if (!word)
    return longest;
  for (auto it = word->Waits.begin();
       it != word->Waits.end() && it->first <= urgency; ++it)
    if (it->second.Expires > now)
      longest = std::max(longest, it->second.Until - now);
  return longest;
}

bool ToldWaits::isEmpty(TimePoint now, const InstanceId &instance) const {
  const auto lenders = Words.find(instance);
  if (lenders == Words.end())
    return true;
  for (const auto &[lender, word] : lenders->second)
    for (const auto &[urgency, wait] : word.Waits)
      if (wait.Expires > now)
        return false;
  return true;
}

void ToldWaits::noteServed(TimePoint now, const InstanceId &instance,
                           const std::string &lender) {
  Words[instance][lender].ServedAt = now;
}

bool ToldWaits::isServing(TimePoint now, const InstanceId &instance,
                          const std::string &lender) const {
  const auto *word = find(instance, lender);
  return word && word->ServedAt > word->ToldAt &&
         now - word->ServedAt <= Options.MostBelieved;
}

bool ToldWaits::takeProbe(TimePoint now, const InstanceId &instance) {
  auto &probedAt = ProbedAt[instance];
  if (now - probedAt < Options.ProbeInterval)
    return false;
  probedAt = now;
  return true;
}

void ToldWaits::forget(const InstanceId &instance, const std::string &lender) {
  const auto lenders = Words.find(instance);
  if (lenders == Words.end())
    return;
  lenders->second.erase(lender);
  if (lenders->second.empty())
    Words.erase(lenders);
}

} // namespace stepledge::overload
