// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What others chose, written so that it can't end its field of a log
/// line.

#ifndef STEPLEDGE_BASE_LOGFIELD_H
#define STEPLEDGE_BASE_LOGFIELD_H

#include <string>
#include <string_view>

namespace stepledge {

/// \p value as that of "key=value": printable ASCII but quotes and backslashes
/// stays as it is, other bytes and blanks become \xNN, and a long value is cut
/// and ends with "...".
std::string logField(std::string_view value);

/// \p text for a pair of quotes: as logField(), but blanks stay.
std::string logText(std::string_view text);

} // namespace stepledge

#endif // STEPLEDGE_BASE_LOGFIELD_H
