// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The expected waits that lenders have told, as far as they still hold.

#ifndef STEPLEDGE_OVERLOAD_TOLDWAITS_H
#define STEPLEDGE_OVERLOAD_TOLDWAITS_H

#include "base/types/Ids.h"
#include "base/types/Time.h"
#include "overload/types/Urgency.h"

#include <map>
#include <string>

namespace stepledge::overload {

struct ToldOptions {
  /// A word is believed no longer than this: a line that got shorter sooner is
  /// found again while most statements can still make their objectives, which
  /// are some 150 to 600 ms.
  Duration MostBelieved = milliseconds(400);
  /// One use in each such time goes to a lender in spite of its word: within
  /// the tightest objectives it is known that there is room again.
  Duration ProbeInterval = milliseconds(100);
};

class ToldWaits {
public:
  explicit ToldWaits(ToldOptions options = {}) : Options(options) {}

  /// \p lender expects a use of that urgency to wait for so long.
  void note(TimePoint now, const InstanceId &instance,
            const std::string &lender, const Urgency &urgency, Duration wait);
  /// What is left of the longest wait told for a use that is at least as
  /// urgent; 0 if there is none. A longer wait of less urgent ones says nothing
  /// of it.
  Duration left(TimePoint now, const InstanceId &instance,
                const std::string &lender, const Urgency &urgency) const;
  /// The lender has served a use.
  void noteServed(TimePoint now, const InstanceId &instance,
                  const std::string &lender);
  /// It has done so lately, and has told no wait since.
  bool isServing(TimePoint now, const InstanceId &instance,
                 const std::string &lender) const;
  /// How long a word is believed at most.
  Duration mostBelieved() const { return Options.MostBelieved; }
  /// No lender that is still there has served a use or told a wait.
  bool hasNoWord() const { return Words.empty(); }
  /// No lender has told a wait for the instance that still holds.
  bool isEmpty(TimePoint now, const InstanceId &instance) const;
  /// Whether one use may go to some lender in spite of what has been told;
  /// after true, none may for ProbeInterval.
  bool takeProbe(TimePoint now, const InstanceId &instance);
  /// The lender has gone: one that comes back has another line.
  void forget(const InstanceId &instance, const std::string &lender);

private:
  struct Wait {
    /// When it is over.
    TimePoint Until{};
    /// When it is no longer believed.
    TimePoint Expires{};
  };
  struct Word {
    std::map<Urgency, Wait> Waits;
    TimePoint ToldAt{};
    TimePoint ServedAt{};
  };
  const Word *find(const InstanceId &instance, const std::string &lender) const;

  ToldOptions Options;
  std::map<InstanceId, std::map<std::string, Word>> Words;
  std::map<InstanceId, TimePoint> ProbedAt;
};

} // namespace stepledge::overload

#endif // STEPLEDGE_OVERLOAD_TOLDWAITS_H
