// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Set-up of the mesh module.

#ifndef STEPLEDGE_MESH_MESHMODULE_H
#define STEPLEDGE_MESH_MESHMODULE_H

#include "mesh/IMesh.h"
#include "settings/types/Settings.h"

#include <asio/io_context.hpp>

#include <memory>

namespace stepledge::mesh {

/// Listens at the VM's mesh address and connects to its peers. Throws
/// std::runtime_error where the address can't be listened at.
std::unique_ptr<IMesh> makeMesh(asio::io_context &context,
                                const settings::Settings &settings);

} // namespace stepledge::mesh

#endif // STEPLEDGE_MESH_MESHMODULE_H
