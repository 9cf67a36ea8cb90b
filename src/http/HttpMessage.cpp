// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "http/types/HttpMessage.h"

#include "absl/strings/match.h"

namespace stepledge::http {

std::vector<std::string> HttpCall::all(const std::string &name) const {
  std::vector<std::string> out;
  for (const auto &it : Headers)
    if (absl::EqualsIgnoreCase(it.Name, name))
      out.push_back(it.Value);
  return out;
}

std::string HttpCall::first(const std::string &name) const {
  const auto values = all(name);
  return values.empty() ? std::string() : values.front();
}

} // namespace stepledge::http
