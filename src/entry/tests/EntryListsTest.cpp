// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The list of entry VMs from the words of several control VMs.

#include "entry/EntryLists.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::entry;

namespace {

peer::wire::EntryVm vm(const char *ip) {
  peer::wire::EntryVm it;
  it.set_ip(ip);
  it.set_hall("a");
  return it;
}

/// All that a control VM knows, as it says on a new connection.
peer::wire::Notice whole(std::initializer_list<const char *> ips) {
  peer::wire::Notice notice;
  for (const auto *ip : ips)
    *notice.add_entries() = vm(ip);
  return notice;
}

std::size_t count(const EntryLists &lists) { return lists.all().size(); }

} // namespace

TEST_CASE("EntryLists_NoticeWithoutAWordOfThemChangesNothing") {
  EntryLists lists;
  CHECK(lists.take("c1", whole({"10.1.0.1", "10.1.0.2"})));
  CHECK(!lists.take("c1", {}));
  CHECK(count(lists) == 2);
}

TEST_CASE("EntryLists_ChangesAreAddedToTheWhole") {
  EntryLists lists;
  lists.take("c1", whole({"10.1.0.1", "10.1.0.2"}));
  peer::wire::Notice change;
  *change.add_entries_joined() = vm("10.1.0.3");
  *change.add_entries_joined() = vm("10.1.0.1");
  change.add_entries_left("10.1.0.2");
  CHECK(lists.take("c1", change));
  CHECK(lists.all() ==
        std::set<membership::EntryVm>{{"10.1.0.1", HallId("a")},
                                      {"10.1.0.3", HallId("a")}});
}

TEST_CASE("EntryLists_VmThatOneControlVmHearsIsThere") {
  EntryLists lists;
  lists.take("c1", whole({"10.1.0.1", "10.1.0.2"}));
  lists.take("c2", whole({"10.1.0.2"}));
  peer::wire::Notice change;
  change.add_entries_left("10.1.0.2");
  lists.take("c1", change);
  CHECK(count(lists) == 2);
  lists.lost("c2");
  CHECK(count(lists) == 1);
  // The last list stays.
  lists.lost("c1");
  CHECK(count(lists) == 1);
}

TEST_CASE("EntryLists_NewConnectionBeginsAnew") {
  EntryLists lists;
  lists.take("c1", whole({"10.1.0.1", "10.1.0.2"}));
  lists.lost("c1");
  lists.take("c1", whole({"10.1.0.3"}));
  CHECK(lists.all() ==
        std::set<membership::EntryVm>{{"10.1.0.3", HallId("a")}});
}
