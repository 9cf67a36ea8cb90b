// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "daemon/internal/TraceBook.h"

#include <utility>

namespace stepledge::daemon {

observe::TraceContext
TraceBook::beginRequest(RequestId id,
                        const std::optional<observe::TraceContext> &from,
                        const std::string &name, WallTime now) {
  observe::Span span;
  span.Name = name;
  span.Start = now;
  if (from) {
    span.Context = *from;
    span.Parent = from->Span;
  } else {
    span.Context = {Chance(), Chance() | 1, 0, false};
  }
  span.Context.Span = Chance() | 1;
  return Requests.insert_or_assign(id, std::move(span)).first->second.Context;
}

void TraceBook::endRequest(RequestId id,
                           std::vector<observe::SpanAttribute> attributes,
                           WallTime now) {
  const auto it = Requests.find(id);
  if (it == Requests.end())
    return;
  it->second.End = now;
  it->second.Attributes = std::move(attributes);
  Tracer.record(it->second);
  Requests.erase(it);
}

std::optional<observe::TraceContext> TraceBook::contextOf(RequestId id) const {
  const auto it = Requests.find(id);
  if (it == Requests.end())
    return std::nullopt;
  return it->second.Context;
}

void TraceBook::beginBatch(BatchId batch, RequestId request, WallTime now) {
  const auto parent = contextOf(request);
  if (!parent || !parent->Sampled)
    return;
  observe::Span span;
  span.Name = "upstream";
  span.Start = now;
  span.Context = *parent;
  span.Parent = parent->Span;
  span.Context.Span = Chance() | 1;
  Batches[batch] = std::move(span);
}

void TraceBook::endBatch(BatchId batch, WallTime now) {
  const auto it = Batches.find(batch);
  if (it == Batches.end())
    return;
  it->second.End = now;
  Tracer.record(it->second);
  Batches.erase(it);
}

} // namespace stepledge::daemon
