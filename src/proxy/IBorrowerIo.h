// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What a VM that lends its connections to instances tells the VMs that
/// borrow them.

#ifndef STEPLEDGE_PROXY_IBORROWERIO_H
#define STEPLEDGE_PROXY_IBORROWERIO_H

#include "base/NameTable.h"
#include "proxy/IProxyIo.h"

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace stepledge::proxy {

/// One statement or transaction of another VM that needs a connection here.
struct BorrowKey {
  /// The VM that borrows.
  std::string Ip;
  /// Its own number for the use.
  std::uint64_t Use = 0;
  auto operator<=>(const BorrowKey &) const = default;
};

/// Commands that a borrower sends, and what they need.
struct BorrowRequest {
  std::string Service;
  InstanceId Instance;
  /// Whose connection it has to be; any will do for the proxy's own questions.
  std::optional<OrganisationId> Organisation;
  std::vector<InstanceCommand> Commands;
  BorrowNeeds Needs;
  /// The use begins with these commands.
  bool IsFirst = false;
};

/// Why a use is over although its borrower hasn't ended it.
enum class LendingEnd {
  /// The connection broke; what was sent may have run.
  Lost,
  /// Nothing was sent: this VM doesn't reach the instance.
  Unreachable,
  /// Nothing was sent: all connections that may be lent are in use.
  Full,
  /// Nothing was sent: this VM is about to stop.
  Stopping,
  /// The use goes on, but the instance has fallen silent: what was sent may
  /// have run, and its answer may never come.
  Silent,
};

constexpr auto LendingEndNames = std::to_array<NameEntry<LendingEnd>>({
    {LendingEnd::Lost, "lost"},
    {LendingEnd::Unreachable, "unreachable"},
    {LendingEnd::Full, "full"},
    {LendingEnd::Stopping, "stopping"},
    {LendingEnd::Silent, "silent"},
});

constexpr std::string_view nameOf(LendingEnd end) {
  return nameIn(LendingEndNames, end);
}

class IBorrowerIo {
public:
  virtual ~IBorrowerIo() = default;

  virtual void answerBorrower(const BorrowKey &key,
                              const std::vector<StatementReply> &replies) = 0;
  /// \p expectedWait is how long a use of that urgency would wait here; 0 if it
  /// isn't known.
  virtual void endBorrower(const BorrowKey &key, LendingEnd reason,
                           Duration expectedWait) = 0;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_IBORROWERIO_H
