// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Spans as lines of OTLP's JSON form in a file.
/// Source: OpenTelemetry protocol specification, "JSON Protobuf Encoding".

#ifndef STEPLEDGE_OBSERVE_INTERNAL_FILETRACER_H
#define STEPLEDGE_OBSERVE_INTERNAL_FILETRACER_H

#include "observe/ITracer.h"

#include <fstream>
#include <string>

namespace stepledge::observe {

class FileTracer : public ITracer {
public:
  FileTracer(const std::string &folder, std::string vm);

  void record(const Span &span) override;

private:
  std::ofstream Out;
  std::string Vm;
};

} // namespace stepledge::observe

#endif // STEPLEDGE_OBSERVE_INTERNAL_FILETRACER_H
