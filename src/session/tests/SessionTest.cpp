// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// Tokens keep all marks of a session, and merging never hides a lost history.

#include "base/ResultTable.h"
#include "session/SessionModule.h"
#include "session/TermHistory.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::session;

namespace {

const DatabaseId Bookings("bookings");
const DatabaseId Schedules("schedules");

Mark mark(std::uint64_t term, std::uint64_t position) {
  return {Term{term}, LogPosition{position}};
}

std::unique_ptr<ITokenCodec> codecWith(const std::vector<std::uint32_t> &ids) {
  std::vector<settings::SessionKey> keys;
  keys.reserve(ids.size());
  for (const auto it : ids)
    keys.push_back({it, std::string(32, static_cast<char>('a' + it))});
  return makeTokenCodec(keys, settings::LimitSettings{});
}

} // namespace

TEST_CASE("Token_RoundTrip") {
  SessionMarks marks;
  marks.add(Bookings, mark(2, 40));
  marks.add(Bookings, mark(3, 41));
  marks.add(Schedules, mark(1, 7));
  const auto codec = codecWith({1});
  const auto read = codec->decode(codec->encode(marks));
  REQUIRE(read.ok());
  CHECK(*read == marks);
}

TEST_CASE("Token_EmptyMarksHaveNoToken") {
  CHECK(codecWith({1})->encode(SessionMarks()).empty());
}

TEST_CASE("Token_OldKeyIsAcceptedWhileListed") {
  SessionMarks marks;
  marks.add(Bookings, mark(1, 5));
  const auto token = codecWith({1})->encode(marks);
  CHECK(codecWith({2, 1})->decode(token).ok());
  const auto refused = codecWith({2, 3})->decode(token);
  CHECK(codeOf(refused.status()) == ResultCode::TokenForged);
}

TEST_CASE("Token_EveryChangedByteIsRefused") {
  SessionMarks marks;
  marks.add(Bookings, mark(1, 5));
  const auto codec = codecWith({1});
  const auto token = codec->encode(marks);
  for (std::size_t n = 0; n < token.size(); ++n) {
    auto changed = token;
    changed[n] = changed[n] == 'A' ? 'B' : 'A';
    const auto read = codec->decode(changed);
    // NOTE: The unused bits of the last character may be ignored; the marks
    // must then be the same.
    if (read.ok())
      CHECK(*read == marks);
  }
}

TEST_CASE("Token_MalformedTokensAreRefused") {
  const auto codec = codecWith({1});
  CHECK(codeOf(codec->decode("!!").status()) == ResultCode::TokenBroken);
  CHECK(codeOf(codec->decode(std::string(5000, 'A')).status()) ==
        ResultCode::TokenTooLarge);
  CHECK(codeOf(codec->decodeAll(std::vector<std::string>(17)).status()) ==
        ResultCode::TokenTooLarge);
}

TEST_CASE("Token_MergedTokensLoseNoMark") {
  SessionMarks first;
  SessionMarks second;
  first.add(Bookings, mark(1, 10));
  second.add(Bookings, mark(1, 12));
  second.add(Schedules, mark(1, 3));
  const auto codec = codecWith({1});
  const auto either =
      codec->decodeAll({codec->encode(second), codec->encode(first)});
  REQUIRE(either.ok());
  CHECK(either->of(Bookings) == DatabaseMarks{mark(1, 12)});
  CHECK(either->of(Schedules) == DatabaseMarks{mark(1, 3)});
}

TEST_CASE("TermHistory_SameTermComparesPositions") {
  const TermHistory history;
  CHECK(history.includes(mark(1, 5), mark(1, 5)) == Inclusion::Included);
  CHECK(history.includes(mark(1, 4), mark(1, 5)) == Inclusion::Behind);
}

TEST_CASE("TermHistory_IncludesOlderTermUpToTheNextStart") {
  TermHistory history;
  history.addTerm(Term{1}, LogPosition{0});
  history.addTerm(Term{2}, LogPosition{10});
  CHECK(history.includes(mark(2, 11), mark(1, 10)) == Inclusion::Included);
  CHECK(history.includes(mark(2, 11), mark(1, 11)) == Inclusion::Lost);
  CHECK(history.includes(mark(1, 99), mark(2, 11)) == Inclusion::Behind);
}

TEST_CASE("TermHistory_LostInAnyTermBetween") {
  TermHistory history;
  history.addTerm(Term{1}, LogPosition{0});
  history.addTerm(Term{2}, LogPosition{10});
  history.addTerm(Term{3}, LogPosition{20});
  CHECK(history.includes(mark(3, 30), mark(1, 15)) == Inclusion::Lost);
  CHECK(history.includes(mark(3, 30), mark(1, 10)) == Inclusion::Included);
}

TEST_CASE("TermHistory_UnknownTermIsUnproved") {
  TermHistory history;
  history.addTerm(Term{2}, LogPosition{10});
  CHECK(history.includes(mark(3, 30), mark(2, 5)) == Inclusion::Unproved);
  CHECK(history.includes(mark(2, 30), mark(1, 5)) == Inclusion::Unproved);
}

TEST_CASE("TermHistory_MergedMarksKeepTheLostOne") {
  TermHistory history;
  history.addTerm(Term{1}, LogPosition{0});
  history.addTerm(Term{2}, LogPosition{10});
  SessionMarks marks;
  marks.add(Bookings, mark(1, 11));
  marks.add(Bookings, mark(2, 12));
  CHECK(history.includesAll(mark(2, 20), marks.of(Bookings)) ==
        Inclusion::Lost);
}
