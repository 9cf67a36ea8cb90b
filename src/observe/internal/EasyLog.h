// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The log by easylogging++, with a logger for each part.

#ifndef STEPLEDGE_OBSERVE_INTERNAL_EASYLOG_H
#define STEPLEDGE_OBSERVE_INTERNAL_EASYLOG_H

#include "observe/ILog.h"

namespace stepledge::observe {

class EasyLog : public ILog {
public:
  explicit EasyLog(const std::string &level);

  void debug(Part part, const std::string &line) override;
  void info(Part part, const std::string &line) override;
  void warning(Part part, const std::string &line) override;
  void error(Part part, const std::string &line) override;
};

} // namespace stepledge::observe

#endif // STEPLEDGE_OBSERVE_INTERNAL_EASYLOG_H
