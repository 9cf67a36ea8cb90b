// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Messages between the system's processes.

#ifndef STEPLEDGE_MESH_IMESH_H
#define STEPLEDGE_MESH_IMESH_H

#include "base/types/Ids.h"
#include "mesh/generated/Mesh.pb.h"

#include <functional>

namespace stepledge::mesh {

class IMesh {
public:
  using Receiver =
      std::function<void(const VmId &from, const wire::Envelope &envelope)>;

  virtual ~IMesh() = default;

  /// Whether the message was handed over. If not, nothing of it was sent and
  /// nothing will be. If so, it may still be lost on its way.
  virtual bool send(const VmId &to, const wire::Envelope &envelope) = 0;
  virtual void setReceiver(Receiver receiver) = 0;
};

} // namespace stepledge::mesh

#endif // STEPLEDGE_MESH_IMESH_H
