// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Where each term of a database group began, to tell whether a log
/// includes a mark.

#ifndef STEPLEDGE_SESSION_TERMHISTORY_H
#define STEPLEDGE_SESSION_TERMHISTORY_H

#include "base/types/LogPosition.h"
#include "session/types/SessionMarks.h"

#include <map>
#include <optional>

namespace stepledge::session {

/// Whether one point of the log includes another.
enum class Inclusion {
  Included,
  /// The other point may be included later.
  Behind,
  /// It will never be included: a replacement discarded it.
  Lost,
  /// The start of one of the two terms is unknown.
  Unproved,
};

class TermHistory {
public:
  /// Records that \p term began after \p start, the last position of the
  /// previous term. Must be called for all terms of one instance's log, without
  /// a gap. Beyond 1024 terms, the lowest is dropped.
  void addTerm(Term term, LogPosition start);

  /// Removes all terms, for when another log proves to be the newest.
  void clear() { Starts.clear(); }

  std::optional<LogPosition> startOf(Term term) const;

  /// Whether a log that has reached \p at includes \p mark.
  Inclusion includes(Mark at, Mark mark) const;
  /// The worst of includes() over \p marks.
  Inclusion includesAll(Mark at, const DatabaseMarks &marks) const;

private:
  /// Whether every term up to \p upTo kept the log entry at \p mark.
  Inclusion carriesOver(Mark mark, Term upTo) const;

  std::map<Term, LogPosition> Starts;
};

} // namespace stepledge::session

#endif // STEPLEDGE_SESSION_TERMHISTORY_H
