// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A quota that grants every operation, unless a test sets another
/// verdict.

#ifndef STEPLEDGE_QUOTA_TESTS_FAKEQUOTA_H
#define STEPLEDGE_QUOTA_TESTS_FAKEQUOTA_H

#include "quota/IOperationQuota.h"

namespace stepledge::quota::tests {

class FakeQuota : public IOperationQuota {
public:
  void setOrganisations(const std::map<OrganisationId, control::Organisation>
                            &organisations) override {
    (void)organisations;
  }
  void setEntries(const std::vector<membership::EntryVm> &entries) override {
    (void)entries;
  }
  QuotaVerdict admit(TimePoint now, const OrganisationId &organisation,
                     int priority) override {
    (void)now;
    Asked.push_back(organisation);
    Priorities.push_back(priority);
    return Verdict;
  }
  Duration retryAfter(TimePoint now, const OrganisationId &organisation,
                      int priority) override {
    (void)now;
    (void)organisation;
    (void)priority;
    return milliseconds(70);
  }

  QuotaVerdict Verdict = QuotaVerdict::Granted;
  std::vector<OrganisationId> Asked;
  /// The priority of each operation asked for.
  std::vector<int> Priorities;
};

} // namespace stepledge::quota::tests

#endif // STEPLEDGE_QUOTA_TESTS_FAKEQUOTA_H
