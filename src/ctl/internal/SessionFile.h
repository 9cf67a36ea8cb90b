// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The file that keeps a session's token between calls.

#ifndef STEPLEDGE_CTL_INTERNAL_SESSIONFILE_H
#define STEPLEDGE_CTL_INTERNAL_SESSIONFILE_H

#include <string>

namespace stepledge::ctl {

/// Empty where there is no such file yet.
std::string readSessionFile(const std::string &path);
/// Readable by its owner only; returns whether it was written.
bool writeSessionFile(const std::string &path, const std::string &token);

} // namespace stepledge::ctl

#endif // STEPLEDGE_CTL_INTERNAL_SESSIONFILE_H
