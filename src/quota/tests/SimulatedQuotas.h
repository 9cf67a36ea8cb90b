// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Entry VMs in halls that keep quotas, over links that delay, cut and
/// lose, driven by a seed.

#ifndef STEPLEDGE_QUOTA_TESTS_SIMULATEDQUOTAS_H
#define STEPLEDGE_QUOTA_TESTS_SIMULATEDQUOTAS_H

#include "quota/QuotaLedger.h"

#include <deque>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace stepledge::quota::tests {

/// One organisation, "o", asks through all VMs.
class SimulatedQuotas {
public:
  SimulatedQuotas(std::uint64_t seed, int halls, int vmsPerHall, double rate,
                  double burst);
  ~SimulatedQuotas();
  SimulatedQuotas(const SimulatedQuotas &) = delete;
  SimulatedQuotas &operator=(const SimulatedQuotas &) = delete;

  /// Lets time pass while clients ask \p perSecond operations; of every VM
  /// alike, or a part \p toFirst of them of the first one.
  void play(Duration time, double perSecond, double toFirst = 0);
  void setLimit(double rate, double burst);
  /// The first hall hears nobody else, and nobody hears it.
  void cutFirstHall(bool isCut) { IsFirstHallCut = isCut; }
  /// A VM starts again and knows nothing of before; it is away for a moment.
  void restart(std::size_t vm);
  void restartAll();
  /// A VM stands still, and goes on with what it had.
  void freeze(std::size_t vm, Duration time);
  /// A VM disappears from the lists of the others, or comes back.
  void setListed(std::size_t vm, bool isListed);

  std::size_t size() const { return Vms.size(); }
  std::mt19937_64 &random() { return Random; }
  /// The most operations run in any span of \p window.
  int mostIn(Duration window) const;
  int granted() const { return static_cast<int>(GrantedAt.size()); }
  /// Operations refused, of those asked.
  int refused() const { return Refused; }
  int asked() const { return Asked; }
  /// Messages between VMs.
  int messages() const { return Messages; }

private:
  struct Vm;
  struct Parcel {
    TimePoint At{};
    std::size_t From = 0;
    std::size_t To = 0;
    /// Of the sender's life; what was sent in an earlier one is lost.
    int Life = 0;
    std::variant<QuotaAsk, QuotaGrant> Body;
  };

  void step();
  void ask(std::size_t vm);
  void pump(Vm &vm);
  bool isLinked(std::size_t a, std::size_t b) const;
  void send(std::size_t from, const std::string &ip,
            std::variant<QuotaAsk, QuotaGrant> body);
  void deliver();
  std::vector<membership::EntryVm> entries() const;

  std::mt19937_64 Random;
  TimePoint Now = TimePoint(std::chrono::seconds(10));
  std::vector<std::unique_ptr<Vm>> Vms;
  std::deque<Parcel> Parcels;
  std::map<OrganisationId, control::Organisation> Organisations;
  bool IsFirstHallCut = false;
  std::vector<TimePoint> GrantedAt;
  int Asked = 0;
  int Refused = 0;
  int Messages = 0;
};

} // namespace stepledge::quota::tests

#endif // STEPLEDGE_QUOTA_TESTS_SIMULATEDQUOTAS_H
