// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Percent-encoded parts of paths (RFC 3986, section 2.1).

#ifndef STEPLEDGE_HTTP_PERCENTDECODING_H
#define STEPLEDGE_HTTP_PERCENTDECODING_H

#include <optional>
#include <string>
#include <string_view>

namespace stepledge::http {

/// The bytes that \p text stands for; none if a '%' lacks its two digits.
std::optional<std::string> percentDecoded(std::string_view text);

} // namespace stepledge::http

#endif // STEPLEDGE_HTTP_PERCENTDECODING_H
