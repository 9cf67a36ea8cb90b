// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Reads and checks settings.

#ifndef STEPLEDGE_SETTINGS_SETTINGSMODULE_H
#define STEPLEDGE_SETTINGS_SETTINGSMODULE_H

#include "settings/types/Settings.h"
#include "settings/types/SettingsFault.h"

#include <string>
#include <string_view>
#include <vector>

namespace stepledge::settings {

/// The result of reading settings; usable only without faults.
struct SettingsReport {
  Settings Checked;
  std::vector<SettingsFault> Faults;

  bool ok() const { return Faults.empty(); }
};

/// Reads TOML text and lists every fault at once. Unknown keys are faults.
SettingsReport parseSettings(std::string_view text);

/// The same for a file.
SettingsReport loadSettings(const std::string &path);

/// One line per fault: "FILE:LINE: TEXT".
std::string describeFaults(const std::string &path,
                           const std::vector<SettingsFault> &faults);

} // namespace stepledge::settings

#endif // STEPLEDGE_SETTINGS_SETTINGSMODULE_H
