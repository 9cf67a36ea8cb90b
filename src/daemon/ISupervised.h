// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file One part of the daemon, as its supervisor sees it.

#ifndef STEPLEDGE_DAEMON_ISUPERVISED_H
#define STEPLEDGE_DAEMON_ISUPERVISED_H

#include <string>

namespace stepledge::daemon {

class ISupervised {
public:
  virtual ~ISupervised() = default;

  virtual std::string name() const = 0;
  /// Throws std::exception where it can't be started now.
  virtual void start() = 0;
  /// Called only after a start that went well.
  virtual void stop() = 0;
};

} // namespace stepledge::daemon

#endif // STEPLEDGE_DAEMON_ISUPERVISED_H
