// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file One fault in a settings file.

#ifndef STEPLEDGE_SETTINGS_TYPES_SETTINGSFAULT_H
#define STEPLEDGE_SETTINGS_TYPES_SETTINGSFAULT_H

#include <cstdint>
#include <string>

namespace stepledge::settings {

struct SettingsFault {
  /// From 1; a missing key has the line of its table. 0 if the file can't be
  /// read.
  std::uint32_t Line = 0;
  std::string Text;
};

} // namespace stepledge::settings

#endif // STEPLEDGE_SETTINGS_TYPES_SETTINGSFAULT_H
