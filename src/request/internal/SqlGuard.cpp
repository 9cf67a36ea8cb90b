// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "request/internal/SqlGuard.h"

#include "absl/strings/ascii.h"

#include <algorithm>
#include <array>
#include <string>

namespace stepledge::request {

namespace {

constexpr auto ForbiddenWords = std::to_array<std::string_view>(
    {"ABORT",  "ATTACH",   "BEGIN",      "CHECKPOINT", "CLOSE",   "CLUSTER",
     "COMMIT", "COPY",     "DEALLOCATE", "DECLARE",    "DETACH",  "DISCARD",
     "DO",     "END",      "EXECUTE",    "FETCH",      "LISTEN",  "LOAD",
     "LOCK",   "MOVE",     "NOTIFY",     "PRAGMA",     "PREPARE", "RELEASE",
     "RESET",  "ROLLBACK", "SAVEPOINT",  "SET",        "START",   "UNLISTEN",
     "VACUUM"});

/// Drops leading blanks, ";", "(" and comments; false for a comment that is
/// nested or never ends.
bool skipBlanks(std::string_view &sql) {
  for (;;) {
    while (!sql.empty() &&
           (absl::ascii_isspace(static_cast<unsigned char>(sql.front())) ||
            sql.front() == ';' || sql.front() == '('))
      sql.remove_prefix(1);
    if (sql.starts_with("--")) {
      const auto end = sql.find('\n');
      if (end == std::string_view::npos)
        return false;
      sql.remove_prefix(end + 1);
    } else if (sql.starts_with("/*")) {
      const auto end = sql.find("*/", 2);
      // NOTE: PostgreSQL nests comments; a nested one is refused, not parsed.
      if (end == std::string_view::npos ||
          sql.substr(2, end - 2).find("/*") != std::string_view::npos)
        return false;
      sql.remove_prefix(end + 2);
    } else {
      return true;
    }
  }
}

} // namespace

bool isForbidden(std::string_view sql) {
  if (!skipBlanks(sql))
    return true;
  std::string word;
  for (const char c : sql) {
    if (!absl::ascii_isalpha(static_cast<unsigned char>(c)))
      break;
    word.push_back(absl::ascii_toupper(static_cast<unsigned char>(c)));
  }
  return word.empty() || std::find(ForbiddenWords.begin(), ForbiddenWords.end(),
                                   word) != ForbiddenWords.end();
}

} // namespace stepledge::request
