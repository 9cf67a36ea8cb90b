// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Refuses statements that end transactions or change the state of shared
/// connections. Only the first word is checked; the connection's transaction
/// state is checked after each batch as well.

#ifndef STEPLEDGE_REQUEST_INTERNAL_SQLGUARD_H
#define STEPLEDGE_REQUEST_INTERNAL_SQLGUARD_H

#include <string_view>

namespace stepledge::request {

/// Whether \p sql begins with a keyword that callers may not use, without a
/// word, or with a nested or unended comment.
bool isForbidden(std::string_view sql);

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_INTERNAL_SQLGUARD_H
