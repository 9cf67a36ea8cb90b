// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Starts the parts of the daemon in order, starts again what fails, and
/// stops all in the opposite order. A supervisor is itself such a part, so
/// supervisors make a tree.

#ifndef STEPLEDGE_DAEMON_SUPERVISOR_H
#define STEPLEDGE_DAEMON_SUPERVISOR_H

#include "daemon/ISupervised.h"
#include "daemon/RestartPolicy.h"
#include "observe/ILog.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace stepledge::daemon {

class Supervisor : public ISupervised {
public:
  using Clock = std::function<TimePoint()>;
  /// Calls \p action at that time.
  using Schedule = std::function<void(TimePoint at, std::function<void()>)>;
  using GivenUp = std::function<void(const std::string &reason)>;

  Supervisor(std::string name, observe::ILog &log, Clock clock,
             Schedule schedule, GivenUp givenUp);

  void add(std::unique_ptr<ISupervised> child, RestartLimits limits = {});

  std::string name() const override { return Name; }
  void start() override;
  void stop() override;
  bool allRunning() const;

private:
  struct Child {
    std::unique_ptr<ISupervised> Part;
    RestartPolicy Policy;
    bool Running = false;
  };

  void startChild(std::size_t index);

  std::string Name;
  observe::ILog &Log;
  Clock Now;
  Schedule Later;
  GivenUp GiveUp;
  std::vector<Child> Children;
  bool Stopped = true;
};

} // namespace stepledge::daemon

#endif // STEPLEDGE_DAEMON_SUPERVISOR_H
