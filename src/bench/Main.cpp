// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// stepledge-bench: the demonstration and the experiments.

#include "bench/BenchModule.h"

#include <CLI/CLI.hpp>

#include <exception>
#include <iostream>

int main(int argc, char **argv) {
  CLI::App app("Runs daemons and stand-ins on loopback and tries them.");
  app.require_subcommand(1);
  auto *demo = app.add_subcommand("demo", "Show what the system does");
  CLI11_PARSE(app, argc, argv);
  try {
    const auto places = stepledge::bench::placesBeside(argv[0]);
    if (demo->parsed())
      return stepledge::bench::runDemo(places, std::cout);
  } catch (const std::exception &failure) {
    std::cerr << "stepledge-bench: " << failure.what() << "\n";
  }
  return 1;
}
