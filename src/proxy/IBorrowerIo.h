// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The replies and reports that a VM which lends its connections to
/// instances sends to the VMs that borrow them.

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

/// Identifies a borrow: one statement or transaction of another VM that needs a
/// connection of this VM.
struct BorrowKey {
  /// The address of the borrowing VM.
  std::string Ip;
  /// The borrow number that the borrower has assigned.
  std::uint64_t Number = 0;
  auto operator<=>(const BorrowKey &) const = default;
};

/// Commands that a borrower sends, and what they need to run.
struct BorrowRequest {
  std::string Service;
  InstanceId Instance;
  /// The organisation whose connection is needed; none for the borrower's own
  /// probes, which may use any.
  std::optional<OrganisationId> Organisation;
  std::vector<InstanceCommand> Commands;
  BorrowNeeds Needs;
  /// The borrow begins with these commands.
  bool IsFirst = false;
};

/// Why a lender ends a borrow, or reports trouble with it, before the borrower
/// has ended it.
enum class LendingEnd {
  /// The connection broke; what was sent may have run.
  Lost,
  /// Nothing was sent: this VM can't reach the instance.
  Unreachable,
  /// Nothing was sent: all connections that may be lent are in use.
  Full,
  /// Nothing was sent: this VM is about to stop.
  Stopping,
  /// The borrow continues, but the instance has stopped answering: what was
  /// sent may have run, and its answer may never arrive.
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
  /// \p expectedWait is how long a borrow of that urgency would wait here; 0 if
  /// unknown.
  virtual void endBorrower(const BorrowKey &key, LendingEnd reason,
                           Duration expectedWait) = 0;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_IBORROWERIO_H
