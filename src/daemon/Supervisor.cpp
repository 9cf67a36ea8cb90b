// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "daemon/Supervisor.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <exception>

namespace stepledge::daemon {

using observe::Part;

Supervisor::Supervisor(std::string name, observe::ILog &log, Clock clock,
                       Schedule schedule, GivenUp givenUp)
    : Name(std::move(name)), Log(log), Now(std::move(clock)),
      Later(std::move(schedule)), GiveUp(std::move(givenUp)) {}

void Supervisor::add(std::unique_ptr<ISupervised> child, RestartLimits limits) {
  Children.push_back({std::move(child), RestartPolicy(limits), false});
}

void Supervisor::start() {
  Stopped = false;
  for (std::size_t n = 0; n < Children.size(); ++n)
    startChild(n);
}

void Supervisor::startChild(std::size_t index) {
  auto &child = Children[index];
  if (Stopped || child.Running)
    return;
  const auto childName = child.Part->name();
  try {
    child.Part->start();
    child.Running = true;
    Log.info(Part::Daemon, absl::StrCat("started ", childName));
  } catch (const std::exception &failure) {
    Log.warning(Part::Daemon,
                absl::StrCat("can't start ", childName, ": ", failure.what()));
    const auto again = child.Policy.failed(Now());
    if (again)
      return Later(*again, [this, index] { startChild(index); });
    GiveUp(absl::StrCat(childName, " failed too often"));
  }
}

void Supervisor::stop() {
  Stopped = true;
  for (auto it = Children.rbegin(); it != Children.rend(); ++it) {
    if (!it->Running)
      continue;
    it->Running = false;
    it->Part->stop();
    Log.info(Part::Daemon, absl::StrCat("stopped ", it->Part->name()));
  }
}

bool Supervisor::allRunning() const {
  return std::all_of(Children.begin(), Children.end(),
                     [](const Child &it) { return it.Running; });
}

} // namespace stepledge::daemon
