// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Identifiers, with a separate type for each kind of object.

#ifndef STEPLEDGE_BASE_TYPES_IDS_H
#define STEPLEDGE_BASE_TYPES_IDS_H

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace stepledge {

/// A name from the settings; names of different kinds are different types.
template <typename Tag> class NamedId {
public:
  NamedId() = default;
  explicit NamedId(std::string name) : Name(std::move(name)) {}

  const std::string &str() const { return Name; }
  bool empty() const { return Name.empty(); }

  auto operator<=>(const NamedId &) const = default;

  template <typename H> friend H AbslHashValue(H state, const NamedId &id) {
    return H::combine(std::move(state), id.Name);
  }

private:
  std::string Name;
};

using DatabaseId = NamedId<struct DatabaseTag>;
using InstanceId = NamedId<struct InstanceTag>;
using VmId = NamedId<struct VmTag>;
using HallId = NamedId<struct HallTag>;
/// A customer of the operator, for whom a connection to an instance is opened.
using OrganisationId = NamedId<struct OrganisationTag>;
/// Identifies a decision or request across VMs: "<vm>-<number>".
using DecisionId = NamedId<struct DecisionTag>;
/// Identifies an open transaction and its owner:
/// "<vm>.<database>.<number>.<nonce>".
using TransactionId = NamedId<struct TransactionTag>;

/// A number issued by one process; numbers of different kinds are different
/// types.
template <typename Tag> struct NumberedId {
  std::uint64_t Number = 0;

  auto operator<=>(const NumberedId &) const = default;

  template <typename H> friend H AbslHashValue(H state, NumberedId id) {
    return H::combine(std::move(state), id.Number);
  }
};

using RequestId = NumberedId<struct RequestTag>;
/// Never reused in a process, so a late answer cannot match a newer connection.
using ConnectionId = NumberedId<struct ConnectionTag>;
using BatchId = NumberedId<struct BatchTag>;

} // namespace stepledge

#endif // STEPLEDGE_BASE_TYPES_IDS_H
