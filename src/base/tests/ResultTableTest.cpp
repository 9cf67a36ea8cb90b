// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// The table of result codes is complete, ordered, and equal to its page.

#include "base/ResultTable.h"

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

using namespace stepledge;

namespace {

std::string pageFromTable() {
  std::ostringstream out;
  out << "| code | name | class | HTTP | meaning |\n";
  out << "|---|---|---|---|---|\n";
  for (const auto &row : resultRows())
    out << "| " << static_cast<int>(row.Code) << " | " << row.Name << " | "
        << nameOf(row.Class) << " | " << row.HttpStatus << " | " << row.Meaning
        << " |\n";
  return out.str();
}

std::string contentOf(const std::string &path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace

TEST_CASE("ResultTable_CodesAreAscending") {
  int last = -1;
  for (const auto &row : resultRows()) {
    CHECK(static_cast<int>(row.Code) > last);
    last = static_cast<int>(row.Code);
  }
}

TEST_CASE("ResultTable_EqualsPage") {
  const std::string page = contentOf(STEPLEDGE_DOCS "/RESULT_CODES.md");
  const std::string table = pageFromTable();
  INFO(table);
  CHECK(page.find(table) != std::string::npos);
}

TEST_CASE("ResultTable_StatusKeepsCode") {
  const auto status = makeStatus(ResultCode::QueueFull, "12 wait");
  CHECK(codeOf(status) == ResultCode::QueueFull);
  CHECK(codeOf(absl::OkStatus()) == ResultCode::Done);
}
