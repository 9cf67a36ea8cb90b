// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "soak/StutterPlan.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace stepledge::soak {

namespace {

/// One answer in so many comes a second time.
constexpr std::uint64_t RepeatOneIn = 8;
/// One statement in so many is refused.
constexpr std::uint64_t RefuseOneIn = 8;
/// Where both are played, one second answer in so many is a half.
constexpr std::uint64_t HalfOneIn = 4;
constexpr std::uint64_t MostDelayMs = 60;

constexpr std::pair<std::string_view, StutterKind> Kinds[] = {
    {"busy", StutterKind::Busy},     {"statements", StutterKind::Statements},
    {"own", StutterKind::Own},       {"commits", StutterKind::Commits},
    {"resets", StutterKind::Resets}, {"halves", StutterKind::Halves},
    {"all", StutterKind::All},
};

} // namespace

std::optional<StutterKind> stutterKindFrom(std::string_view name) {
  const auto *it =
      std::find_if(std::begin(Kinds), std::end(Kinds),
                   [name](const auto &kind) { return kind.first == name; });
  if (it == std::end(Kinds))
    return std::nullopt;
  return it->second;
}

bool StutterPlan::repeats(const std::string &answer, const Asked &asked) const {
  switch (Options.Kind) {
  case StutterKind::None:
    return false;
  case StutterKind::Busy:
    return answer.starts_with("ERROR BUSY");
  case StutterKind::Statements:
    return !asked.IsOwn;
  case StutterKind::Own:
    return asked.IsOwn;
  case StutterKind::Commits:
    return asked.Word == "COMMIT";
  case StutterKind::Resets:
    return asked.Word == "CONNECT" || asked.Word == "RESET";
  case StutterKind::Halves:
  case StutterKind::All:
    return true;
  }
  return false;
}

std::optional<SecondAnswer> StutterPlan::after(const std::string &answer,
                                               const Asked &asked) {
  if (!repeats(answer, asked) || Random() % RepeatOneIn != 0)
    return std::nullopt;
  const bool isHalf =
      Options.Kind == StutterKind::Halves ||
      (Options.Kind == StutterKind::All && Random() % HalfOneIn == 0);
  SecondAnswer second{isHalf ? partOf(answer) : answer, drawMoment()};
  if (second.Bytes.empty())
    return std::nullopt;
  return second;
}

bool StutterPlan::refusesNext() {
  const bool refuses =
      Options.Kind == StutterKind::Busy || Options.Kind == StutterKind::All;
  return refuses && Random() % RefuseOneIn == 0;
}

std::string StutterPlan::partOf(const std::string &answer) {
  constexpr std::string_view Row = "ROW ";
  constexpr std::string_view End = "\r\n";
  // The rows come first; a part of them looks like the next read's.
  std::size_t rows = 0;
  while (answer.compare(rows, Row.size(), Row) == 0)
    rows = answer.find(End, rows) + End.size();
  const std::size_t least = Options.CutsAfterRows ? 1 : rows + 1;
  if (least >= answer.size())
    return {};
  const auto cut = least + Random() % (answer.size() - least);
  // Half of the parts end with a line.
  const auto lineEnd = answer.find(End, cut);
  const bool isWholeLines = Random() % 2 == 0 && lineEnd != answer.npos &&
                            lineEnd + End.size() < answer.size();
  return answer.substr(0, isWholeLines ? lineEnd + End.size() : cut);
}

StutterMoment StutterPlan::drawMoment() {
  switch (Random() % 4) {
  case 0:
    return AtOnce{};
  case 1:
    return BehindNext{};
  default:
    return Later{std::chrono::milliseconds(1 + Random() % MostDelayMs)};
  }
}

} // namespace stepledge::soak
