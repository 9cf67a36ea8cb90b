// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Encoding of configuration deltas.

#ifndef STEPLEDGE_DISTRIBUTION_DELTACODEC_H
#define STEPLEDGE_DISTRIBUTION_DELTACODEC_H

#include "distribution/types/ConfigurationDelta.h"

#include <optional>
#include <string>

namespace stepledge::distribution {

/// Returns the same bytes for equal deltas.
std::string encodeDelta(const ConfigurationDelta &delta);

/// Returns nothing if \p bytes can't be decoded.
std::optional<ConfigurationDelta> decodeDelta(const std::string &bytes);

} // namespace stepledge::distribution

#endif // STEPLEDGE_DISTRIBUTION_DELTACODEC_H
