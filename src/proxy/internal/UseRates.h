// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file How often each organisation has used one instance of late, by which
/// the connection is chosen that makes room for another organisation's.

#ifndef STEPLEDGE_PROXY_INTERNAL_USERATES_H
#define STEPLEDGE_PROXY_INTERNAL_USERATES_H

#include "base/types/Ids.h"
#include "base/types/Time.h"

#include <map>

namespace stepledge::proxy {

class UseRates {
public:
  /// One more statement or transaction of \p organisation.
  void note(TimePoint now, const OrganisationId &organisation);
  /// Its uses, each the less worth the longer ago it was.
  double of(TimePoint now, const OrganisationId &organisation) const;
  std::size_t size() const { return Uses.size(); }

private:
  struct Use {
    double Weight = 0;
    TimePoint At{};
  };

  static double weightAt(TimePoint now, const Use &use);

  std::map<OrganisationId, Use> Uses;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_INTERNAL_USERATES_H
