// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// Compares the effects of complete sessions with stored files. With
// STEPLEDGE_REWRITE=1 in the environment the files are rewritten.

#include "request/tests/SessionScript.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

using namespace stepledge::request;

TEST_CASE("GoldenSession_EveryFile") {
  std::vector<std::filesystem::path> files;
  for (const auto &it :
       std::filesystem::directory_iterator(STEPLEDGE_TEST_DATA))
    if (it.path().extension() == ".session")
      files.push_back(it.path());
  std::sort(files.begin(), files.end());
  REQUIRE(files.size() >= 12);
  for (const auto &path : files) {
    INFO(path.filename().string());
    std::ifstream in(path);
    const std::string stored(std::istreambuf_iterator<char>(in), {});
    const auto got = SessionScript().run(stored);
    if (std::getenv("STEPLEDGE_REWRITE") != nullptr)
      std::ofstream(path) << got;
    else
      CHECK(got == stored);
  }
}
