// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// The library's own source file, which its package ships beside the header.
#include <easylogging++.cc>
