// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "distribution/ConfigurationSender.h"

#include <algorithm>

namespace stepledge::distribution {

std::optional<peer::wire::ConfigurationPart>
ConfigurationSender::answer(const std::string &ip,
                            const peer::wire::ConfigurationRequest &request) {
  const bool isNew = request.offset() == 0;
  if (isNew && request.held_version() >= newest().Version)
    return std::nullopt;
  if (isNew)
    Transfers[ip] = {request.fetch(),
                     History.deltaFrom(request.held_version())};
  const auto it = Transfers.find(ip);
  const bool isKnown =
      it != Transfers.end() && it->second.Fetch == request.fetch();
  if (!isKnown || request.offset() >= it->second.Delta->size())
    return std::nullopt;
  const std::string &bytes = *it->second.Delta;
  const auto n = std::min(PartBytes, bytes.size() - request.offset());
  peer::wire::ConfigurationPart part;
  part.set_fetch(request.fetch());
  part.set_offset(request.offset());
  part.set_total(bytes.size());
  part.set_body(bytes.substr(request.offset(), n));
  if (request.offset() + n == bytes.size())
    Transfers.erase(it);
  return part;
}

} // namespace stepledge::distribution
