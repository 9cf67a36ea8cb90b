// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Encodes and decodes session tokens.

#ifndef STEPLEDGE_SESSION_ITOKENCODEC_H
#define STEPLEDGE_SESSION_ITOKENCODEC_H

#include "session/types/SessionMarks.h"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>
#include <vector>

namespace stepledge::session {

class ITokenCodec {
public:
  virtual ~ITokenCodec() = default;

  /// \p marks as a signed token; empty for no marks.
  virtual std::string encode(const SessionMarks &marks) const = 0;

  /// The marks of one token. Errors: TokenBroken, TokenForged, TokenTooLarge.
  virtual absl::StatusOr<SessionMarks> decode(std::string_view token) const = 0;

  /// The merged marks of several tokens; an error in one token fails the call.
  virtual absl::StatusOr<SessionMarks>
  decodeAll(const std::vector<std::string> &tokens) const = 0;
};

} // namespace stepledge::session

#endif // STEPLEDGE_SESSION_ITOKENCODEC_H
