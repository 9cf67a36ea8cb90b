// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The classes of work, in descending precedence.

#ifndef STEPLEDGE_ADMISSION_TYPES_WORKCLASS_H
#define STEPLEDGE_ADMISSION_TYPES_WORKCLASS_H

#include "base/NameTable.h"

#include <array>
#include <cstddef>

namespace stepledge::admission {

enum class WorkClass {
  /// Statements of open transactions, which hold resources that others need.
  Transaction,
  /// Writes, and statements that open a transaction.
  Write,
  /// Reads of current data, or of a session that has marks.
  SessionRead,
  /// Reads that may be answered from older data.
  Browse,
};

constexpr std::size_t WorkClasses = 4;

constexpr auto WorkClassNames = std::to_array<NameEntry<WorkClass>>({
    {WorkClass::Transaction, "transaction"},
    {WorkClass::Write, "write"},
    {WorkClass::SessionRead, "session read"},
    {WorkClass::Browse, "browse"},
});

} // namespace stepledge::admission

#endif // STEPLEDGE_ADMISSION_TYPES_WORKCLASS_H
