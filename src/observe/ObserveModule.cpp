// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "observe/ObserveModule.h"

#include "observe/internal/DecisionJournal.h"
#include "observe/internal/EasyLog.h"
#include "observe/internal/FileTracer.h"
#include "observe/internal/PrometheusMetrics.h"

namespace stepledge::observe {

std::unique_ptr<ILog> makeLog(const std::string &level) {
  return std::make_unique<EasyLog>(level);
}

std::unique_ptr<IMetrics> makeMetrics() {
  return std::make_unique<PrometheusMetrics>();
}

std::unique_ptr<ITracer> makeTracer(const std::string &folder,
                                    const std::string &vm) {
  return std::make_unique<FileTracer>(folder, vm);
}

std::unique_ptr<IDecisionJournal> makeDecisionJournal(std::size_t limit) {
  return std::make_unique<DecisionJournal>(limit);
}

} // namespace stepledge::observe
