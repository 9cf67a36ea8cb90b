// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "mesh/MeshModule.h"

#include "mesh/internal/ZmqMesh.h"

namespace stepledge::mesh {

std::unique_ptr<IMesh> makeMesh(asio::io_context &context,
                                const settings::Settings &settings) {
  return std::make_unique<ZmqMesh>(context, settings);
}

} // namespace stepledge::mesh
