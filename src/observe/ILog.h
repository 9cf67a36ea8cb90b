// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The log, as the parts of the daemon see it.

#ifndef STEPLEDGE_OBSERVE_ILOG_H
#define STEPLEDGE_OBSERVE_ILOG_H

#include "observe/types/Part.h"

#include <string>

namespace stepledge::observe {

/// Lines are short sentences; each gets its part's prefix.
class ILog {
public:
  virtual ~ILog() = default;

  virtual void debug(Part part, const std::string &line) = 0;
  virtual void info(Part part, const std::string &line) = 0;
  virtual void warning(Part part, const std::string &line) = 0;
  virtual void error(Part part, const std::string &line) = 0;
};

} // namespace stepledge::observe

#endif // STEPLEDGE_OBSERVE_ILOG_H
