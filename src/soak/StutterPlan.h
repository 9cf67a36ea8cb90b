// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Which answers of an instance come a second time, when, and how much
/// of them. From one thread.

#ifndef STEPLEDGE_SOAK_STUTTERPLAN_H
#define STEPLEDGE_SOAK_STUTTERPLAN_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>

namespace stepledge::soak {

enum class StutterKind {
  None,
  /// Answers of \c BUSY, whole.
  Busy,
  /// Answers to clients' statements, whole.
  Statements,
  /// Answers to the system's own statements, whole.
  Own,
  /// Answers to \c COMMIT, whole.
  Commits,
  /// Answers that begin a new use of a connection, to \c CONNECT and \c RESET,
  /// whole.
  Resets,
  /// The first part of any answer.
  Halves,
  /// All of these.
  All,
};

/// None of the names.
std::optional<StutterKind> stutterKindFrom(std::string_view name);

struct StutterOptions {
  StutterKind Kind = StutterKind::None;
  std::uint64_t Seed = 0;
  /// Also parts that end in or after a row, which nobody can tell from the rows
  /// of the next read.
  bool CutsAfterRows = false;
};

/// With the last byte of the first answer.
struct AtOnce {};
/// Whatever the connection does then.
struct Later {
  std::chrono::milliseconds Delay;
};
/// As soon as the connection has taken its next statement.
struct BehindNext {};
using StutterMoment = std::variant<AtOnce, Later, BehindNext>;

struct SecondAnswer {
  std::string Bytes;
  StutterMoment When;
};

/// What an answer is to.
struct Asked {
  /// The first word of its text.
  std::string Word;
  /// It isn't a client's.
  bool IsOwn = false;
};

class StutterPlan {
public:
  explicit StutterPlan(const StutterOptions &options)
      : Options(options), Random(options.Seed) {}

  /// What comes after \p answer to \p asked, if it does.
  std::optional<SecondAnswer> after(const std::string &answer,
                                    const Asked &asked);
  /// Whether a client's statement is refused, so that refusals are frequent.
  bool refusesNext();

private:
  bool repeats(const std::string &answer, const Asked &asked) const;
  /// The first part of \p answer, or nothing that can be told.
  std::string partOf(const std::string &answer);
  StutterMoment drawMoment();

  StutterOptions Options;
  std::mt19937_64 Random;
};

} // namespace stepledge::soak

#endif // STEPLEDGE_SOAK_STUTTERPLAN_H
