// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Set-up of the command-line tool's parts.

#ifndef STEPLEDGE_CTL_CTLMODULE_H
#define STEPLEDGE_CTL_CTLMODULE_H

#include "ctl/IApiClient.h"
#include "ctl/types/CtlOptions.h"

#include <iosfwd>
#include <memory>

namespace stepledge::ctl {

/// A client over HTTP to the address in \p options.
std::unique_ptr<IApiClient> makeApiClient(const CtlOptions &options);

/// Reads the command line, does what it asks, and prints to \p out and
/// \p err. Returns the process's exit code.
int runCtl(int argc, const char *const *argv, std::ostream &out,
           std::ostream &err);

} // namespace stepledge::ctl

#endif // STEPLEDGE_CTL_CTLMODULE_H
