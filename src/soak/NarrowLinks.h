// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The narrow links of some VMs: all connections that one of them opens
/// share its two buckets.

#ifndef STEPLEDGE_SOAK_NARROWLINKS_H
#define STEPLEDGE_SOAK_NARROWLINKS_H

#include "soak/TokenBucket.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace stepledge::soak {

/// What a connection may carry; no bucket, no limit.
struct LinkRate {
  std::shared_ptr<TokenBucket> ToTarget;
  std::shared_ptr<TokenBucket> ToCaller;
};

class NarrowLinks {
public:
  /// The VM known by \p ip gets \p bytesPerSecond each way.
  void add(const std::string &ip, double bytesPerSecond);
  /// The link of the caller whose first bytes name its address.
  ///
  /// NOTE: all processes of one machine call from 127.0.0.1, so a connection
  /// shows whose it is only by what its caller says of itself.
  LinkRate of(std::string_view firstBytes) const;

private:
  std::map<std::string, LinkRate, std::less<>> Links;
};

} // namespace stepledge::soak

#endif // STEPLEDGE_SOAK_NARROWLINKS_H
