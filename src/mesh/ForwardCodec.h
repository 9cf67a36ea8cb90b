// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Calls within transactions, and their answers, as mesh messages.

#ifndef STEPLEDGE_MESH_FORWARDCODEC_H
#define STEPLEDGE_MESH_FORWARDCODEC_H

#include "mesh/generated/Mesh.pb.h"
#include "request/types/CallerAnswer.h"
#include "request/types/CallerRequest.h"

#include <optional>

namespace stepledge::mesh {

/// None for a request that is not within a transaction.
std::optional<wire::ForwardCall>
toForwardCall(const request::CallerRequest &request, TimePoint now);

/// The request as the owner runs it; the caller gives it an id.
request::CallerRequest fromForwardCall(const wire::ForwardCall &call,
                                       TimePoint now);

wire::ForwardAnswer toForwardAnswer(const request::CallerAnswer &answer);
request::CallerAnswer fromForwardAnswer(const wire::ForwardAnswer &answer);

} // namespace stepledge::mesh

#endif // STEPLEDGE_MESH_FORWARDCODEC_H
