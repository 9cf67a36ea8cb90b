// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The log positions that a session has observed, by database.

#ifndef STEPLEDGE_SESSION_TYPES_SESSIONMARKS_H
#define STEPLEDGE_SESSION_TYPES_SESSIONMARKS_H

#include "base/types/Ids.h"
#include "base/types/LogPosition.h"

#include <map>
#include <vector>

namespace stepledge::session {

/// The marks of one database: the highest position of each term, by ascending
/// term. Older terms are kept until an instance proves that its log includes
/// them, so that merging never hides a lost history.
using DatabaseMarks = std::vector<Mark>;

class SessionMarks {
public:
  /// Adds \p mark, keeping the higher position of its term.
  void add(const DatabaseId &database, Mark mark);
  /// Adds all of \p other.
  void merge(const SessionMarks &other);
  /// Replaces all marks of \p database by \p mark, which must be proved to
  /// include them.
  void replace(const DatabaseId &database, Mark mark);

  /// The marks of \p database; empty if the session has observed none.
  const DatabaseMarks &of(const DatabaseId &database) const;
  const std::map<DatabaseId, DatabaseMarks> &all() const { return Marks; }
  bool empty() const { return Marks.empty(); }

  bool operator==(const SessionMarks &) const = default;

private:
  std::map<DatabaseId, DatabaseMarks> Marks;
};

} // namespace stepledge::session

#endif // STEPLEDGE_SESSION_TYPES_SESSIONMARKS_H
