// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "request/RequestModule.h"

#include "request/internal/RequestCoordinator.h"

namespace stepledge::request {

std::unique_ptr<IRequestCoordinator>
makeRequestCoordinator(const settings::Settings &settings, std::uint64_t seed,
                       TimePoint now) {
  return std::make_unique<RequestCoordinator>(settings, seed, now);
}

} // namespace stepledge::request
