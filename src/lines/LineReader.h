// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Cuts the bytes of a connection into lines.

#ifndef STEPLEDGE_LINES_LINEREADER_H
#define STEPLEDGE_LINES_LINEREADER_H

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace stepledge::lines {

/// Cuts bytes into lines. CR LF ends a line; a CR or LF alone is a byte of it.
class LineReader {
public:
  /// False once a line is longer than any message may be; it is never handed
  /// on.
  bool add(std::string_view bytes);
  /// The next whole line without its end.
  std::optional<std::string> next();
  /// Whether bytes are left that next() hasn't returned.
  bool hasRest() const { return Start < Buffer.size(); }

private:
  /// Finds the ends of the lines that have come whole.
  void findEnds();

  std::string Buffer;
  std::size_t Start = 0;
  /// Where the unfinished line begins.
  std::size_t Unfinished = 0;
  /// Where the search for its end goes on.
  std::size_t Searched = 0;
  /// The ends of the lines that are whole, in order.
  std::deque<std::size_t> Ends;
  bool IsTooLong = false;
};

} // namespace stepledge::lines

#endif // STEPLEDGE_LINES_LINEREADER_H
