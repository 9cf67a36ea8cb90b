// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file When a client that was refused for lack of capacity should retry.

#ifndef STEPLEDGE_OVERLOAD_RETRYDELAY_H
#define STEPLEDGE_OVERLOAD_RETRYDELAY_H

#include "base/types/Time.h"

#include <string_view>

namespace stepledge::overload {

/// A delay between one and two times \p wait, or 5 ms if that is longer, after
/// which there should be capacity. A hash of \p statement spreads it evenly, so
/// that clients refused together retry one by one, at about the rate at which
/// the queue shrinks.
Duration retryDelay(Duration wait, std::string_view statement);

} // namespace stepledge::overload

#endif // STEPLEDGE_OVERLOAD_RETRYDELAY_H
