// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file When a client that was refused for want of room is asked to return.

#ifndef STEPLEDGE_OVERLOAD_RETRYTIME_H
#define STEPLEDGE_OVERLOAD_RETRYTIME_H

#include "base/types/Time.h"

#include <string_view>

namespace stepledge::overload {

/// Between one and two times \p wait, after which there should be room: spread
/// evenly by \p statement, so that those who were refused together return one
/// by one, at about the rate at which the line gets shorter.
Duration retryTime(Duration wait, std::string_view statement);

} // namespace stepledge::overload

#endif // STEPLEDGE_OVERLOAD_RETRYTIME_H
