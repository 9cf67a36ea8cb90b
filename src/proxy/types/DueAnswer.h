// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What the answer to a command holds, if the command succeeds.

#ifndef STEPLEDGE_PROXY_TYPES_DUEANSWER_H
#define STEPLEDGE_PROXY_TYPES_DUEANSWER_H

namespace stepledge::proxy {

enum class DueAnswer {
  /// Not known: a VM of an earlier version borrows.
  Any,
  /// Neither rows nor a signature: the proxy's own commands.
  Acknowledgement,
  /// A signature, and any rows.
  Rows,
  /// A signature alone: a write.
  Signature,
  /// A signature alone, and the transaction is over.
  Commit,
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_TYPES_DUEANSWER_H
