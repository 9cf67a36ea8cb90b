// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "session/SessionModule.h"

#include "session/internal/TokenCodec.h"

namespace stepledge::session {

std::unique_ptr<ITokenCodec>
makeTokenCodec(const std::vector<settings::SessionKey> &keys,
               const settings::LimitSettings &limits) {
  return std::make_unique<TokenCodec>(keys, limits);
}

} // namespace stepledge::session
