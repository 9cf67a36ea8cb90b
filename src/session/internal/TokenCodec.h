// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Tokens as protobuf, signed by HMAC-SHA256, in URL-safe base 64.

#ifndef STEPLEDGE_SESSION_INTERNAL_TOKENCODEC_H
#define STEPLEDGE_SESSION_INTERNAL_TOKENCODEC_H

#include "session/ITokenCodec.h"
#include "settings/types/Settings.h"

#include <vector>

namespace stepledge::session {

class TokenCodec : public ITokenCodec {
public:
  TokenCodec(std::vector<settings::SessionKey> keys,
             const settings::LimitSettings &limits)
      : Keys(std::move(keys)), Limits(limits) {}

  std::string encode(const SessionMarks &marks) const override;
  absl::StatusOr<SessionMarks> decode(std::string_view token) const override;
  absl::StatusOr<SessionMarks>
  decodeAll(const std::vector<std::string> &tokens) const override;

private:
  const settings::SessionKey *findKey(std::uint32_t id) const;

  std::vector<settings::SessionKey> Keys;
  settings::LimitSettings Limits;
};

} // namespace stepledge::session

#endif // STEPLEDGE_SESSION_INTERNAL_TOKENCODEC_H
