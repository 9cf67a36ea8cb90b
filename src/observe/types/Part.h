// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The parts of the daemon, each with its prefix in the log.

#ifndef STEPLEDGE_OBSERVE_TYPES_PART_H
#define STEPLEDGE_OBSERVE_TYPES_PART_H

#include "base/NameTable.h"

#include <array>

namespace stepledge::observe {

enum class Part { Daemon, Api, Request, Upstream, Mesh, Control };

constexpr auto PartNames = std::to_array<NameEntry<Part>>({
    {Part::Daemon, "daemon"},
    {Part::Api, "api"},
    {Part::Request, "request"},
    {Part::Upstream, "upstream"},
    {Part::Mesh, "mesh"},
    {Part::Control, "control"},
});

} // namespace stepledge::observe

#endif // STEPLEDGE_OBSERVE_TYPES_PART_H
