// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "quota/tests/SimulatedQuotas.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace stepledge::quota::tests {

namespace {

constexpr Duration Step = milliseconds(2);
constexpr Duration Delay = milliseconds(1);
/// How long a statement waits for its quota.
constexpr Duration MaxWait = milliseconds(700);
/// How long a VM that restarts is unreachable.
constexpr Duration RestartTime = milliseconds(500);
const OrganisationId TheOrganisation("o");

std::string ipOf(std::size_t vm) { return "10.0.0." + std::to_string(vm); }

} // namespace

struct SimulatedQuotas::Vm : IQuotaIo {
  Vm(SimulatedQuotas &owner, std::size_t number, HallId hall, int halls)
      : Simulation(owner), Number(number), Hall(std::move(hall)), Halls(halls) {
    begin();
  }

  void begin() {
    QuotaOptions options;
    options.OwnIp = ipOf(Number);
    options.OwnHall = Hall;
    options.Halls = Halls;
    options.Tolerance = 20;
    Ledger = std::make_unique<QuotaLedger>(options, *this);
  }

  bool askHome(const std::string &ip, const QuotaAsk &ask) override {
    Simulation.send(Number, ip, ask);
    return true;
  }
  void sendGrant(const std::string &ip, const QuotaGrant &grant) override {
    Simulation.send(Number, ip, grant);
  }
  void tellPresence(const std::string &ip, bool isLeaving) override {
    (void)isLeaving;
    Simulation.send(Number, ip, SimulatedPresence());
  }
  void quotaChanged(const OrganisationId &organisation) override {
    (void)organisation;
    HasQuotaChanged = true;
  }

  SimulatedQuotas &Simulation;
  std::size_t Number;
  HallId Hall;
  int Halls;
  std::unique_ptr<QuotaLedger> Ledger;
  std::deque<Caller> Waiting;
  bool HasQuotaChanged = false;
  bool IsListed = true;
  /// The VM is paused or unreachable until then.
  TimePoint PausedUntil{};
  int Incarnation = 0;
};

SimulatedQuotas::SimulatedQuotas(std::uint64_t seed, int halls, int vmsPerHall,
                                 double rate, double burst)
    : Random(seed) {
  for (int i = 0; i < halls * vmsPerHall; ++i)
    Vms.push_back(std::make_unique<Vm>(
        *this, static_cast<std::size_t>(i),
        HallId("h" + std::to_string(i / vmsPerHall)), halls));
  for (auto &it : Vms) {
    connectToAll(*it);
    it->Ledger->setEntries(entries());
  }
  setLimit(rate, burst);
}

SimulatedQuotas::~SimulatedQuotas() = default;

void SimulatedQuotas::connectToAll(Vm &vm) {
  for (const auto &it : Vms)
    if (it->Number != vm.Number)
      vm.Ledger->homeConnected(ipOf(it->Number));
}

std::vector<membership::EntryVm> SimulatedQuotas::entries() const {
  std::vector<membership::EntryVm> entries;
  for (const auto &it : Vms)
    if (it->IsListed)
      entries.push_back({ipOf(it->Number), it->Hall});
  return entries;
}

void SimulatedQuotas::setLimit(double rate, double burst) {
  auto &it = Organisations[TheOrganisation];
  it.Id = TheOrganisation;
  it.RatePerSecond = rate;
  it.Burst = burst;
  for (auto &vm : Vms)
    vm->Ledger->setOrganisations(Organisations);
}

void SimulatedQuotas::setListed(std::size_t vm, bool isListed) {
  Vms[vm]->IsListed = isListed;
  // NOTE: not all VMs receive the new list at once.
  for (auto &it : Vms)
    if (Random() % 4 != 0)
      it->Ledger->setEntries(entries());
}

void SimulatedQuotas::cutHalfOffFromLists() {
  for (std::size_t i = 0; i < Vms.size(); i += 2)
    Vms[i]->IsListed = false;
  for (std::size_t i = 1; i < Vms.size(); i += 2)
    Vms[i]->Ledger->setEntries(entries());
}

void SimulatedQuotas::endCutOffFromLists() {
  for (auto &it : Vms)
    it->IsListed = true;
  for (auto &it : Vms)
    it->Ledger->setEntries(entries());
}

void SimulatedQuotas::restart(std::size_t vm) {
  auto &it = *Vms[vm];
  ++it.Incarnation;
  it.Waiting.clear();
  it.begin();
  connectToAll(it);
  it.Ledger->setEntries(entries());
  it.Ledger->setOrganisations(Organisations);
  it.PausedUntil = Now + RestartTime;
}

void SimulatedQuotas::restartAll() {
  for (std::size_t i = 0; i < Vms.size(); ++i)
    restart(i);
}

void SimulatedQuotas::pause(std::size_t vm, Duration time) {
  Vms[vm]->PausedUntil = std::max(Vms[vm]->PausedUntil, Now + time);
}

bool SimulatedQuotas::isLinked(std::size_t a, std::size_t b) const {
  if (AreHalvesPartitioned && a % 2 != b % 2)
    return false;
  const bool isSameHall = Vms[a]->Hall == Vms[b]->Hall;
  const auto &first = Vms.front()->Hall;
  const bool touchesFirst = Vms[a]->Hall == first || Vms[b]->Hall == first;
  return isSameHall || !IsFirstHallPartitioned || !touchesFirst;
}

void SimulatedQuotas::send(std::size_t from, const std::string &ip,
                           SimulatedBody body) {
  MessageCount += !std::holds_alternative<SimulatedPresence>(body);
  const auto to = static_cast<std::size_t>(std::stoi(ip.substr(7)));
  if (isLinked(from, to))
    InFlight.push_back(
        {Now + Delay, from, to, Vms[from]->Incarnation, std::move(body)});
}

void SimulatedQuotas::deliver() {
  std::deque<Message> kept;
  for (auto &it : std::exchange(InFlight, {})) {
    auto &to = *Vms[it.To];
    if (it.At > Now || to.PausedUntil > Now) {
      kept.push_back(std::move(it));
      continue;
    }
    // NOTE: the connection to an earlier incarnation is closed.
    if (it.Incarnation != Vms[it.From]->Incarnation)
      continue;
    if (const auto *ask = std::get_if<QuotaAsk>(&it.Body))
      to.Ledger->receiveAsk(Now, ipOf(it.From), *ask);
    else if (const auto *grant = std::get_if<QuotaGrant>(&it.Body))
      to.Ledger->receiveGrant(Now, ipOf(it.From), *grant);
    else
      to.Ledger->receivePresence(Now, ipOf(it.From), false);
  }
  for (auto &it : InFlight)
    kept.push_back(std::move(it));
  InFlight = std::move(kept);
}

void SimulatedQuotas::ask(std::size_t vm, Caller caller) {
  // NOTE: the balancer sends clients to VMs that answer.
  while (Vms[vm]->PausedUntil > Now)
    vm = Random() % Vms.size();
  ++Asked[caller.Priority];
  caller.Since = Now;
  Vms[vm]->Waiting.push_back(caller);
  admitWaiting(*Vms[vm]);
}

void SimulatedQuotas::askDueCallers() {
  const auto end = ReturningCallers.upper_bound(Now);
  const std::vector<std::pair<TimePoint, Caller>> due(ReturningCallers.begin(),
                                                      end);
  ReturningCallers.erase(ReturningCallers.begin(), end);
  for (const auto &[at, caller] : due)
    ask(Random() % Vms.size(), caller);
}

void SimulatedQuotas::refuse(Vm &vm, Caller caller) {
  ++Refused[caller.Priority];
  if (caller.Returns++ == MaxReturns)
    return;
  const auto delay =
      vm.Ledger->retryAfter(Now, TheOrganisation, caller.Priority);
  ReturningCallers.emplace(Now + delay, caller);
}

void SimulatedQuotas::admitWaiting(Vm &vm) {
  vm.HasQuotaChanged = false;
  std::deque<Caller> kept;
  for (const auto &it : std::exchange(vm.Waiting, {})) {
    const auto verdict = vm.Ledger->admit(Now, TheOrganisation, it.Priority);
    if (verdict == QuotaVerdict::Granted) {
      GrantedAt.push_back(Now);
      ++Grants[it.Priority];
    } else if (verdict == QuotaVerdict::Exhausted || Now - it.Since > MaxWait) {
      refuse(vm, it);
    } else {
      kept.push_back(it);
    }
  }
  vm.Waiting = std::move(kept);
}

void SimulatedQuotas::step() {
  Now += Step;
  deliver();
  for (auto &it : Vms) {
    if (it->PausedUntil > Now)
      continue;
    it->Ledger->tick(Now);
    const bool isTickDue = (Now.time_since_epoch() / Step) % 5 == 0;
    if (it->HasQuotaChanged || isTickDue)
      admitWaiting(*it);
  }
}

void SimulatedQuotas::run(Duration time, double perSecond,
                          double firstVmFraction) {
  runAll(time, {{0, perSecond}}, firstVmFraction);
}

void SimulatedQuotas::runAll(Duration time,
                             const std::vector<SimulatedLoad> &loads,
                             double firstVmFraction) {
  const std::chrono::duration<double> perStep = Step;
  std::bernoulli_distribution isAtFirstVm(firstVmFraction);
  for (const TimePoint end = Now + time; Now < end;) {
    step();
    const bool areAllPaused =
        std::all_of(Vms.begin(), Vms.end(),
                    [&](const auto &it) { return it->PausedUntil > Now; });
    if (!areAllPaused)
      askDueCallers();
    for (const auto &load : loads) {
      std::poisson_distribution<int> count(load.PerSecond * perStep.count());
      int n = load.PerSecond > 0 ? count(Random) : 0;
      for (; n > 0 && !areAllPaused; --n)
        ask(isAtFirstVm(Random) ? 0 : Random() % Vms.size(),
            {Now, load.Priority, 0});
    }
  }
}

int SimulatedQuotas::countOf(const Counts &counts, int priority) {
  const auto it = counts.find(priority);
  return it == counts.end() ? 0 : it->second;
}

int SimulatedQuotas::sumOf(const Counts &counts) {
  return std::accumulate(
      counts.begin(), counts.end(), 0,
      [](int sum, const auto &it) { return sum + it.second; });
}

int SimulatedQuotas::maxIn(Duration window) const {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < GrantedAt.size(); ++last) {
    while (GrantedAt[last] - GrantedAt[first] > window)
      ++first;
    most = std::max(most, last - first + 1);
  }
  return static_cast<int>(most);
}

} // namespace stepledge::quota::tests
