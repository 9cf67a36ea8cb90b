// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "session/types/SessionMarks.h"

#include <algorithm>

namespace stepledge::session {

void SessionMarks::add(const DatabaseId &database, Mark mark) {
  auto &marks = Marks[database];
  const auto it = std::lower_bound(marks.begin(), marks.end(), mark,
                                   [](const Mark &left, const Mark &right) {
                                     return left.WrittenIn < right.WrittenIn;
                                   });
  if (it != marks.end() && it->WrittenIn == mark.WrittenIn)
    it->Position = std::max(it->Position, mark.Position);
  else
    marks.insert(it, mark);
}

void SessionMarks::merge(const SessionMarks &other) {
  for (const auto &[database, marks] : other.Marks)
    for (const auto &it : marks)
      add(database, it);
}

void SessionMarks::replace(const DatabaseId &database, Mark mark) {
  Marks[database] = {mark};
}

const DatabaseMarks &SessionMarks::of(const DatabaseId &database) const {
  static const DatabaseMarks nothing;
  const auto it = Marks.find(database);
  return it == Marks.end() ? nothing : it->second;
}

} // namespace stepledge::session
