// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The entry VMs that control VMs hear, put together from what each of
/// them says.

#ifndef STEPLEDGE_ENTRY_ENTRYLISTS_H
#define STEPLEDGE_ENTRY_ENTRYLISTS_H

#include "membership/types/EntryVm.h"
#include "peer/generated/Peer.pb.h"

#include <map>
#include <set>
#include <string>

namespace stepledge::entry {

class EntryLists {
public:
  /// Takes what the control VM \p ip says; true if it said anything of them.
  bool take(const std::string &ip, const peer::wire::Notice &notice);
  /// The control VM is gone. The list of the last one is better than none.
  void lost(const std::string &ip);
  /// A VM that some control VM hears is there, whoever else is cut off.
  std::set<membership::EntryVm> all() const;

private:
  std::map<std::string, std::set<membership::EntryVm>> ByControl;
};

} // namespace stepledge::entry

#endif // STEPLEDGE_ENTRY_ENTRYLISTS_H
