// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// stepledgectl: the command-line tool.

#include "ctl/CtlModule.h"

#include <iostream>

int main(int argc, char **argv) {
  return stepledge::ctl::runCtl(argc, argv, std::cout, std::cerr);
}
