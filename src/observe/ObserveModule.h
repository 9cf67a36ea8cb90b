// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Set-up of the observe module.

#ifndef STEPLEDGE_OBSERVE_OBSERVEMODULE_H
#define STEPLEDGE_OBSERVE_OBSERVEMODULE_H

#include "observe/IDecisionJournal.h"
#include "observe/ILog.h"
#include "observe/IMetrics.h"
#include "observe/ITracer.h"

#include <cstddef>
#include <memory>
#include <string>

namespace stepledge::observe {

/// Logs to standard error from \p level ("debug", "info", "warning",
/// "error") up.
std::unique_ptr<ILog> makeLog(const std::string &level);

std::unique_ptr<IMetrics> makeMetrics();

/// Appends sampled spans to \p folder/traces.jsonl, a line each in OTLP's
/// JSON form; with an empty \p folder they are dropped.
std::unique_ptr<ITracer> makeTracer(const std::string &folder,
                                    const std::string &vm);

/// Keeps the latest \p limit records.
std::unique_ptr<IDecisionJournal> makeDecisionJournal(std::size_t limit);

} // namespace stepledge::observe

#endif // STEPLEDGE_OBSERVE_OBSERVEMODULE_H
