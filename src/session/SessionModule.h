// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Set-up of the session module.

#ifndef STEPLEDGE_SESSION_SESSIONMODULE_H
#define STEPLEDGE_SESSION_SESSIONMODULE_H

#include "session/ITokenCodec.h"
#include "settings/types/Settings.h"

#include <memory>
#include <vector>

namespace stepledge::session {

/// A codec that signs with the first of \p keys and accepts all of them, so
/// that a key can be replaced while tokens of the old one are in use.
std::unique_ptr<ITokenCodec>
makeTokenCodec(const std::vector<settings::SessionKey> &keys,
               const settings::LimitSettings &limits);

} // namespace stepledge::session

#endif // STEPLEDGE_SESSION_SESSIONMODULE_H
