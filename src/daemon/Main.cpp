// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// stepledged: the daemon.

#include "daemon/DaemonModule.h"
#include "settings/SettingsModule.h"

#include <CLI/CLI.hpp>

#include <exception>
#include <iostream>
#include <string>

int main(int argc, char **argv) {
  CLI::App app("The database proxy with session consistency.");
  std::string path;
  bool check = false;
  app.add_option("--settings", path, "The TOML file of settings")->required();
  app.add_flag("--check", check, "Only check the settings, and list faults");
  CLI11_PARSE(app, argc, argv);
  const auto report = stepledge::settings::loadSettings(path);
  if (!report.ok()) {
    std::cerr << stepledge::settings::describeFaults(path, report.Faults);
    return 1;
  }
  if (check) {
    std::cout << path << ": no faults\n";
    return 0;
  }
  try {
    return stepledge::daemon::runDaemon(report.Checked);
  } catch (const std::exception &failure) {
    std::cerr << "stepledged: " << failure.what() << "\n";
    return 1;
  }
}
