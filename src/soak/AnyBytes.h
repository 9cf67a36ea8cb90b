// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Draws what a last field may hold: any bytes but CR LF.

#ifndef STEPLEDGE_SOAK_ANYBYTES_H
#define STEPLEDGE_SOAK_ANYBYTES_H

#include <cstddef>
#include <random>
#include <string>

namespace stepledge::soak {

/// The most bytes of a line, with its end.
constexpr std::size_t MessageLimit = 1 << 20;

/// Makes \p field, if it is nearly as long, fill a line that has \p others
/// bytes beside it, with its end.
void fillLine(std::string &field, std::size_t others);

/// How the last fields of a soak's lines depart from short words.
struct FieldHabits {
  bool DrawsAnyBytes = false;
  /// A few are as long as a message may be, less the words before them.
  bool DrawsLarge = false;
};

/// What such a field ends with; often nothing.
std::string drawTail(std::mt19937_64 &random, FieldHabits habits);

/// At least one byte, of which the first isn't a blank and none ends a line:
/// bare line feeds and carriage returns, zeros, what isn't UTF-8, whole calls
/// and the ends of answers.
std::string anyBytes(std::mt19937_64 &random);

} // namespace stepledge::soak

#endif // STEPLEDGE_SOAK_ANYBYTES_H
