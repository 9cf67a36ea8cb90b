// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "node/SeedReader.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <utility>

namespace stepledge::node {

SeedReader::SeedReader(ReadSeeds read, Ips seeds, WriteLog log)
    : Read(std::move(read)), Seeds(std::move(seeds)), Log(std::move(log)) {}

std::optional<SeedReader::Ips> SeedReader::reload() {
  const auto seeds = Read();
  Log(absl::StrCat("event=reload valid=", seeds.ok()));
  if (!seeds.ok())
    return std::nullopt;
  Seeds = *seeds;
  return Seeds;
}

std::optional<SeedReader::Ips> SeedReader::poll(TimePoint now) {
  if (now - ReadAt < Interval)
    return std::nullopt;
  ReadAt = now;
  const auto seeds = Read();
  if (!seeds.ok()) {
    Log(absl::StrCat("event=seeds_unreadable reason=\"",
                     std::string(seeds.status().message()), "\""));
    return std::nullopt;
  }
  if (*seeds == Seeds)
    return std::nullopt;
  Seeds = *seeds;
  Log(absl::StrCat("event=seeds_read seeds=", absl::StrJoin(Seeds, ",")));
  return Seeds;
}

} // namespace stepledge::node
