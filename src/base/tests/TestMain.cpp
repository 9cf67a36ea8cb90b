// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// The main() of all test programs. It skips the test cases that the environment
// lists as known to fail, see tools/test.

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

int main(int argc, char **argv) {
  doctest::Context context(argc, argv);
  if (const char *names = std::getenv("STEPLEDGE_KNOWN_RED"))
    context.addFilter("test-case-exclude", names);
  return context.run();
}
