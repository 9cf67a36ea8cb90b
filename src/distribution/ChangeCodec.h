// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Changes of the configuration as bytes.

#ifndef STEPLEDGE_DISTRIBUTION_CHANGECODEC_H
#define STEPLEDGE_DISTRIBUTION_CHANGECODEC_H

#include "distribution/types/ConfigurationChange.h"

#include <optional>
#include <string>

namespace stepledge::distribution {

/// The same bytes for the same change.
std::string encodeChange(const ConfigurationChange &change);

/// Nothing where \p bytes are no change.
std::optional<ConfigurationChange> decodeChange(const std::string &bytes);

} // namespace stepledge::distribution

#endif // STEPLEDGE_DISTRIBUTION_CHANGECODEC_H
