// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Creates the request module.

#ifndef STEPLEDGE_REQUEST_REQUESTMODULE_H
#define STEPLEDGE_REQUEST_REQUESTMODULE_H

#include "request/IRequestCoordinator.h"
#include "settings/types/Settings.h"

#include <cstdint>
#include <memory>

namespace stepledge::request {

/// \p seed initialises the random numbers of the coordinator; the same events
/// with the same seed have the same effects.
std::unique_ptr<IRequestCoordinator>
makeRequestCoordinator(const settings::Settings &settings, std::uint64_t seed,
                       TimePoint now);

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_REQUESTMODULE_H
