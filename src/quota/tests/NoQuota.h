// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Quotas that grant everything, but what a test forbids.

#ifndef STEPLEDGE_QUOTA_TESTS_NOQUOTA_H
#define STEPLEDGE_QUOTA_TESTS_NOQUOTA_H

#include "quota/IOperationQuota.h"

namespace stepledge::quota::tests {

class NoQuota : public IOperationQuota {
public:
  void setOrganisations(const std::map<OrganisationId, control::Organisation>
                            &organisations) override {
    (void)organisations;
  }
  void setEntries(const std::vector<membership::EntryVm> &entries) override {
    (void)entries;
  }
  QuotaVerdict admit(TimePoint now,
                     const OrganisationId &organisation) override {
    (void)now;
    Asked.push_back(organisation);
    return Verdict;
  }
  Duration retryAfter(TimePoint now,
                      const OrganisationId &organisation) const override {
    (void)now;
    (void)organisation;
    return milliseconds(70);
  }

  QuotaVerdict Verdict = QuotaVerdict::Granted;
  std::vector<OrganisationId> Asked;
};

} // namespace stepledge::quota::tests

#endif // STEPLEDGE_QUOTA_TESTS_NOQUOTA_H
