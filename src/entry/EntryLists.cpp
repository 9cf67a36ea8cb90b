// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "entry/EntryLists.h"

namespace stepledge::entry {

namespace {

void add(const peer::wire::EntryVm &vm, std::set<membership::EntryVm> &list) {
  std::erase_if(list, [&](const auto &it) { return it.Ip == vm.ip(); });
  list.insert({vm.ip(), HallId(vm.hall())});
}

} // namespace

bool EntryLists::take(const std::string &ip, const peer::wire::Notice &notice) {
  const bool isWhole = notice.entries_size() > 0;
  const bool isChange =
      notice.entries_joined_size() > 0 || notice.entries_left_size() > 0;
  if (!isWhole && !isChange)
    return false;
  auto &list = ByControl[ip];
  if (isWhole)
    list.clear();
  for (const auto &it : notice.entries())
    add(it, list);
  for (const auto &it : notice.entries_joined())
    add(it, list);
  for (const auto &left : notice.entries_left())
    std::erase_if(list, [&](const auto &it) { return it.Ip == left; });
  return true;
}

void EntryLists::lost(const std::string &ip) {
  if (ByControl.size() > 1)
    ByControl.erase(ip);
}

std::set<membership::EntryVm> EntryLists::all() const {
  std::set<membership::EntryVm> all;
  for (const auto &[control, list] : ByControl)
    all.insert(list.begin(), list.end());
  return all;
}

} // namespace stepledge::entry
