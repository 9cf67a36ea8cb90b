// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Where each term of a database group began, and what that says of a
/// mark or of an instance's log.

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
  /// It may come to include it later.
  Behind,
  /// It never will: the other was lost in a replacement.
  Lost,
  /// The starts of some terms between are not known here.
  Unproved,
};

class TermHistory {
public:
  /// Term \p term began after \p start, the last position of the log before.
  /// To be called for all terms of one instance's log, without a gap.
  void learn(Term term, LogPosition start);

  /// Forgets all; for when another log turns out to be the newest.
  void clear() { Starts.clear(); }

  std::optional<LogPosition> startOf(Term term) const;

  /// Whether a log that has got to \p at includes \p mark.
  Inclusion includes(Mark at, Mark mark) const;
  /// The worst of includes() over \p marks.
  Inclusion includesAll(Mark at, const DatabaseMarks &marks) const;

private:
  /// Whether what stood at \p mark was kept by every term up to \p upTo.
  Inclusion carriesOver(Mark mark, Term upTo) const;

  std::map<Term, LogPosition> Starts;
};

} // namespace stepledge::session

#endif // STEPLEDGE_SESSION_TERMHISTORY_H
