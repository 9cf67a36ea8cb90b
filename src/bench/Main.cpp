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
  stepledge::bench::ExperimentOptions options;
  std::string profile = "kiln";
  auto *failover = app.add_subcommand("failover", "Lose the primary");
  auto *reads = app.add_subcommand("reads", "Browse while replicas lag");
  auto *slopes = app.add_subcommand("slopes", "Measure costs of a unit");
  for (auto *it : {failover, reads}) {
    it->add_option("--seed", options.Seed);
    it->add_option("--profile", profile)
        ->check(CLI::IsMember({"kiln", "ledger"}));
  }
  failover->add_option("--losses", options.Losses)->check(CLI::Range(1, 200));
  failover->add_option("--baseline-losses", options.BaselineLosses)
      ->check(CLI::Range(0, 50));
  reads->add_option("--requests", options.Requests)
      ->check(CLI::Range(1, 100000));
  CLI11_PARSE(app, argc, argv);
  options.Traffic =
      *stepledge::valueIn(stepledge::bench::ProfileNames, profile);
  try {
    const auto places = stepledge::bench::placesBeside(argv[0]);
    if (demo->parsed())
      return stepledge::bench::runDemo(places, std::cout);
    if (failover->parsed())
      return stepledge::bench::runFailover(places, options, std::cout);
    if (slopes->parsed())
      return stepledge::bench::runSlopes(std::cout);
    if (reads->parsed())
      return stepledge::bench::runReads(places, options, std::cout);
  } catch (const std::exception &failure) {
    std::cerr << "stepledge-bench: " << failure.what() << "\n";
  }
  return 1;
}
