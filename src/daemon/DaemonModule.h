// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The daemon: wires all modules and runs until it is told to stop.

#ifndef STEPLEDGE_DAEMON_DAEMONMODULE_H
#define STEPLEDGE_DAEMON_DAEMONMODULE_H

#include "settings/types/Settings.h"

namespace stepledge::daemon {

/// Runs until SIGTERM or SIGINT, then finishes what is open. Returns the
/// process's exit code: 0 after an orderly stop.
int runDaemon(const settings::Settings &settings);

} // namespace stepledge::daemon

#endif // STEPLEDGE_DAEMON_DAEMONMODULE_H
