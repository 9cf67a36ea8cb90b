// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "observe/internal/EasyLog.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace stepledge::observe {

namespace {

std::string loggerOf(Part part) { return std::string(nameIn(PartNames, part)); }

/// The levels below \p level are turned off.
bool isOff(const std::string &level, el::Level it) {
  const bool noDebug = level != "debug";
  const bool noInfo = noDebug && level != "info";
  const bool noWarning = level == "error";
  return (it == el::Level::Debug && noDebug) ||
         (it == el::Level::Info && noInfo) ||
         (it == el::Level::Warning && noWarning);
}

} // namespace

EasyLog::EasyLog(const std::string &level) {
  el::Configurations config;
  config.setToDefault();
  config.setGlobally(el::ConfigurationType::Format,
                     "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level [%logger] %msg");
  config.setGlobally(el::ConfigurationType::ToFile, "false");
  config.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  for (const auto it : {el::Level::Debug, el::Level::Info, el::Level::Warning})
    if (isOff(level, it))
      config.set(it, el::ConfigurationType::Enabled, "false");
  for (const auto &it : PartNames)
    el::Loggers::reconfigureLogger(el::Loggers::getLogger(std::string(it.Name)),
                                   config);
}

void EasyLog::debug(Part part, const std::string &line) {
  CLOG(DEBUG, loggerOf(part).c_str()) << line;
}

void EasyLog::info(Part part, const std::string &line) {
  CLOG(INFO, loggerOf(part).c_str()) << line;
}

void EasyLog::warning(Part part, const std::string &line) {
  CLOG(WARNING, loggerOf(part).c_str()) << line;
}

void EasyLog::error(Part part, const std::string &line) {
  CLOG(ERROR, loggerOf(part).c_str()) << line;
}

} // namespace stepledge::observe
