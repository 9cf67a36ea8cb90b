// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Cuts the bytes of a connection into lines.

#ifndef STEPLEDGE_LINES_LINEREADER_H
#define STEPLEDGE_LINES_LINEREADER_H

#include <optional>
#include <string>
#include <string_view>

namespace stepledge::lines {

/// Cuts bytes into lines.
class LineReader {
public:
  /// False once a line is longer than any message may be.
  bool add(std::string_view bytes);
  /// The next whole line without its end.
  std::optional<std::string> next();

private:
  std::string Buffer;
  std::size_t Start = 0;
};

} // namespace stepledge::lines

#endif // STEPLEDGE_LINES_LINEREADER_H
