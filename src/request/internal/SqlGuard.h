// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Keeps callers from ending transactions or changing connections that
/// are not theirs alone. It looks at the first word only; the connection's
/// state after each batch is checked besides.

#ifndef STEPLEDGE_REQUEST_INTERNAL_SQLGUARD_H
#define STEPLEDGE_REQUEST_INTERNAL_SQLGUARD_H

#include <string_view>

namespace stepledge::request {

/// Whether \p sql begins with a word that is not for callers.
bool isForbidden(std::string_view sql);

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_INTERNAL_SQLGUARD_H
