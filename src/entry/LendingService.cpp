// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "entry/LendingService.h"

#include "entry/internal/BorrowCodec.h"

#include "absl/strings/str_cat.h"

namespace stepledge::entry {

void LendingService::peerConnected(const std::string &ip,
                                   const peer::wire::Hello &hello) {
  (void)hello;
  peerLost(ip, peer::LinkEnd::Replaced);
  Known[ip].HeardAt = Now;
}

void LendingService::peerLost(const std::string &ip, peer::LinkEnd end) {
  if (end == peer::LinkEnd::Unreadable)
    Log.decision(absl::StrCat("event=borrower_lost ip=", ip, " reason=",
                              std::string(nameIn(peer::LinkEndNames, end))));
  Known.erase(ip);
  Proxy->lender().endAll(Now, ip);
}

void LendingService::peerHeard(const std::string &ip) {
  if (const auto it = Known.find(ip); it != Known.end())
    it->second.HeardAt = Now;
}

void LendingService::peerSaid(const std::string &ip,
                              const peer::wire::Message &message) {
  Known[ip].HeardAt = Now;
  if (message.has_borrow_call())
    Proxy->lender().request(Now, {ip, message.borrow_call().use()},
                            decodeCall(Now, message.borrow_call()));
  else if (message.has_borrow_end())
    Proxy->lender().end(Now, {ip, message.borrow_end().use()});
}

void LendingService::tell(const std::string &ip,
                          const peer::wire::Message &message) {
  const auto found = Known.find(ip);
  if (found != Known.end())
    found->second.ToldAt = Now;
  Borrowers.send(ip, message);
}

void LendingService::answerBorrower(
    const proxy::BorrowKey &key,
    const std::vector<proxy::StatementReply> &replies) {
  peer::wire::Message message;
  auto &out = *message.mutable_borrow_replies();
  out.set_use(key.Number);
  for (const auto &it : replies)
    encodeReply(it, *out.add_replies());
  tell(key.Ip, message);
}

void LendingService::endBorrower(const proxy::BorrowKey &key,
                                 proxy::LendingEnd reason,
                                 Duration expectedWait) {
  peer::wire::Message message;
  auto &out = *message.mutable_borrow_end();
  out.set_use(key.Number);
  out.set_reason(static_cast<std::uint32_t>(reason));
  out.set_expected_wait_us(expectedWait.count());
  tell(key.Ip, message);
}

void LendingService::tick(TimePoint now) {
  Now = now;
  std::vector<std::string> gone;
  for (const auto &ip : Proxy->lender().borrowers()) {
    auto &it = Known[ip];
    if (now - it.HeardAt > Options.BorrowerLimit) {
      gone.push_back(ip);
    } else if (it.mustBeTold(now, Options.AliveInterval)) {
      tell(ip, stillHere());
    }
  }
  for (const auto &it : gone) {
    Log.decision(absl::StrCat("event=borrower_silent ip=", it, " for_ms=",
                              toMilliseconds(now - Known[it].HeardAt),
                              " uses=", Proxy->lender().borrowNumbersOf(it)));
    peerLost(it, peer::LinkEnd::Silent);
  }
}

} // namespace stepledge::entry
