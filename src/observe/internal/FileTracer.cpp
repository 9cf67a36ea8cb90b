// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "observe/internal/FileTracer.h"

#include "absl/strings/str_format.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace stepledge::observe {

namespace {

using nlohmann::json;

std::string nanoseconds(std::chrono::system_clock::time_point time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(
                            time.time_since_epoch())
                            .count());
}

json attribute(const std::string &name, const std::string &value) {
  return {{"key", name}, {"value", {{"stringValue", value}}}};
}

json spanJson(const Span &span) {
  auto attributes = json::array();
  for (const auto &it : span.Attributes)
    attributes.push_back(attribute(it.Name, it.Value));
  json out = {{"traceId", absl::StrFormat("%016x%016x", span.Context.TraceHigh,
                                          span.Context.TraceLow)},
              {"spanId", absl::StrFormat("%016x", span.Context.Span)},
              {"name", span.Name},
              {"startTimeUnixNano", nanoseconds(span.Start)},
              {"endTimeUnixNano", nanoseconds(span.End)},
              {"attributes", std::move(attributes)}};
  if (span.Parent != 0)
    out["parentSpanId"] = absl::StrFormat("%016x", span.Parent);
  return out;
}

} // namespace

FileTracer::FileTracer(const std::string &folder, std::string vm)
    : Vm(std::move(vm)) {
  if (!folder.empty())
    Out.open(folder + "/traces.jsonl", std::ios::app);
}

void FileTracer::record(const Span &span) {
  if (!span.Context.Sampled || !Out.is_open())
    return;
  const json resource = {
      {"attributes", json::array({attribute("service.name", "stepledged"),
                                  attribute("service.instance.id", Vm)})}};
  const json scope = {{"spans", json::array({spanJson(span)})}};
  const json line = {
      {"resourceSpans", json::array({{{"resource", resource},
                                      {"scopeSpans", json::array({scope})}}})}};
  Out << line.dump(-1, ' ', false, json::error_handler_t::replace) << '\n'
      << std::flush;
}

} // namespace stepledge::observe
