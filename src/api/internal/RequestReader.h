// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Callers' JSON bodies, checked and made into requests.

#ifndef STEPLEDGE_API_INTERNAL_REQUESTREADER_H
#define STEPLEDGE_API_INTERNAL_REQUESTREADER_H

#include "api/IRequestGateway.h"
#include "settings/types/Settings.h"

#include "absl/status/statusor.h"

#include <string>

namespace stepledge::api {

class RequestReader {
public:
  explicit RequestReader(const settings::Settings &settings)
      : Config(settings) {}

  absl::StatusOr<CallerSubmission> read(const DatabaseId &database,
                                        const std::string &body) const;
  absl::StatusOr<CallerSubmission> write(const DatabaseId &database,
                                         const std::string &body) const;
  absl::StatusOr<CallerSubmission> begin(const DatabaseId &database,
                                         const std::string &body) const;
  absl::StatusOr<CallerSubmission> statement(const TransactionId &transaction,
                                             const std::string &body) const;
  absl::StatusOr<CallerSubmission> commit(const TransactionId &transaction,
                                          const std::string &body) const;
  absl::StatusOr<CallerSubmission> rollback(const TransactionId &transaction,
                                            const std::string &body) const;

private:
  const settings::Settings &Config;
};

} // namespace stepledge::api

#endif // STEPLEDGE_API_INTERNAL_REQUESTREADER_H
