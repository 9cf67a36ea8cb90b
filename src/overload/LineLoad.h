// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file How long a use that comes now would wait in a line for connections to
/// one instance.

#ifndef STEPLEDGE_OVERLOAD_LINELOAD_H
#define STEPLEDGE_OVERLOAD_LINELOAD_H

#include "base/types/Time.h"
#include "overload/types/Urgency.h"

#include <map>

namespace stepledge::overload {

struct LoadOptions {
  /// Weight of a new sample in the smoothed time that a connection is held:
  /// some tens of uses, so that a few long ones don't look like an overload.
  double HeldWeight = 0.05;
  /// A use counts at most so many times as long as usual: a transaction may
  /// rest a hundred times as long, and its connection isn't counted among the
  /// others meanwhile.
  int MostHeldFactor = 4;
  /// The time over which it is counted who begins: about an objective, so that
  /// a burst shows before those who wait behind it are late.
  Duration RateWindow = milliseconds(300);
  /// The part of the room that more urgent uses are taken to need at most: what
  /// little is left lets one use find out when there is room again.
  double MostTaken = 0.95;
};

class LineLoad {
public:
  explicit LineLoad(LoadOptions options = {}) : Options(options) {}

  /// A use of that urgency got a connection.
  void noteBegun(TimePoint now, const Urgency &urgency);
  /// A use has held its connection for so long.
  void noteHeld(Duration time);
  /// The smoothed time that a use holds a connection; 0 while it isn't known.
  Duration held() const { return Held; }
  /// The wait of a use that finds \p ahead others who go first and
  /// \p connections, none of them free; 0 while it isn't known. Others that are
  /// more urgent go on coming meanwhile, as of late.
  Duration wait(TimePoint now, const Urgency &urgency, int ahead,
                int connections) const;
  /// The same if nobody else comes.
  Duration drainTime(int ahead, int connections) const;

private:
  /// An exponentially decaying count.
  struct Count {
    double Number = 0;
    TimePoint At{};
  };
  double numberNow(TimePoint now, const Count &count) const;
  /// The part of the connections' time that more urgent uses take.
  double takenBefore(TimePoint now, const Urgency &urgency,
                     int connections) const;

  LoadOptions Options;
  Duration Held{};
  std::map<Urgency, Count> Begun;
};

} // namespace stepledge::overload

#endif // STEPLEDGE_OVERLOAD_LINELOAD_H
