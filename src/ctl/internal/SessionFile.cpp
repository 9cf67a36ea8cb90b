// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "ctl/internal/SessionFile.h"

#include <filesystem>
#include <fstream>

namespace stepledge::ctl {

std::string readSessionFile(const std::string &path) {
  std::ifstream in(path);
  std::string token;
  std::getline(in, token);
  return token;
}

bool writeSessionFile(const std::string &path, const std::string &token) {
  std::ofstream out(path, std::ios::trunc);
  std::error_code ec;
  using std::filesystem::perms;
  std::filesystem::permissions(path, perms::owner_read | perms::owner_write,
                               ec);
  out << token << "\n";
  return out.good();
}

} // namespace stepledge::ctl
