// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What each command asks of the API, and how its answer is printed.

#ifndef STEPLEDGE_CTL_INTERNAL_COMMANDS_H
#define STEPLEDGE_CTL_INTERNAL_COMMANDS_H

#include "ctl/IApiClient.h"
#include "ctl/types/CtlOptions.h"

#include <iosfwd>
#include <optional>
#include <string>

namespace stepledge::ctl {

class Commands {
public:
  Commands(const CtlOptions &options, IApiClient &client, std::ostream &out,
           std::ostream &err)
      : Asked(options), Client(client), Out(out), Err(err) {}

  ExitCode read();
  ExitCode write();
  ExitCode begin();
  ExitCode statement();
  ExitCode commit();
  ExitCode rollback();
  ExitCode explain();
  ExitCode ready();

private:
  ExitCode post(const std::string &path, const std::string &body);
  ExitCode unreachable();
  ExitCode printAnswer(const std::string &body);

  const CtlOptions &Asked;
  IApiClient &Client;
  std::ostream &Out;
  std::ostream &Err;
};

} // namespace stepledge::ctl

#endif // STEPLEDGE_CTL_INTERNAL_COMMANDS_H
