// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Parses an instance's answer to the dialect's `observe` query.

#ifndef STEPLEDGE_REQUEST_INTERNAL_OBSERVATIONROW_H
#define STEPLEDGE_REQUEST_INTERNAL_OBSERVATIONROW_H

#include "routing/types/Observation.h"
#include "upstream/types/Batch.h"

#include <optional>

namespace stepledge::request {

/// None if the step failed, did not return one row, or lacks a role or a number
/// for term, log_term, durable or applied.
std::optional<routing::Observation>
readObservation(const upstream::StepResult &step);

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_INTERNAL_OBSERVATIONROW_H
