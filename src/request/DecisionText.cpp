// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "request/types/DecisionRecord.h"

#include "base/ResultTable.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <array>

namespace stepledge::request {

namespace {

using enum NoteKind;

/// "@" is replaced by the instance, "#" by the mark.
constexpr auto Sentences = std::to_array<NameEntry<NoteKind>>({
    {Admitted, "The request was let in."},
    {Refused, "The request was refused on arrival."},
    {Sent, "It was sent to @."},
    {ProofBehind, "@ was only at #, behind what the session saw."},
    {ProofTooOld, "@ was at #, older than the read allows."},
    {ProofNotPrimary, "@ was not the confirmed primary."},
    {ProofHistoryLost, "@ at # lacks for good what the session saw."},
    {InstanceLost, "The connection to @ was lost."},
    {Retried, "It was provably not run, so it was tried again."},
    {RetryBudgetSpent, "It was not tried again, since retries had reached "
                       "their share of the traffic."},
    {WaitingForPrimary, "No primary was in reach, so it waited for one."},
    {CommitSent, "@ ran it; its commit was sent."},
    {KeyFound, "@ already held an answer under this key."},
    {LookingUpKey, "The outcome was open, so the key was looked up at @."},
    {KeyAbsent, "@ lacks the key and can't get it any more, so the request "
                "was not run."},
    {AwaitingMajority, "@ held it at #; it waited for a majority."},
    {MajorityReached, "A majority of the instances held #."},
    {Discarded, "The primary was replaced, and the new one's log lacks #."},
    {DeadlinePassed, "The deadline passed."},
    {PrimarySuspected, "@ had been silent for too long, so the VMs in other "
                       "halls were asked whether they hear it."},
    {FencingMajority, "They don't; a majority of the instances was told to "
                      "promise a new term."},
    {PromotingMostAdvanced,
     "A majority promised; the one with the furthest log "
     "was told to become primary."},
    {ReplacementEnded, "It ended; the primary is @, at #."},
});

std::string markText(Mark mark) {
  return absl::StrCat("position ", mark.Position.Offset, " of term ",
                      mark.WrittenIn.Number);
}

std::string sentence(const Note &note) {
  std::string out;
  for (const char c : nameIn(Sentences, note.Kind)) {
    if (c == '@')
      absl::StrAppend(&out, note.Instance.str());
    else if (c == '#')
      absl::StrAppend(&out, markText(note.AtMark));
    else
      out.push_back(c);
  }
  if (!note.Detail.empty())
    absl::StrAppend(&out, " (", note.Detail, ")");
  return out;
}

struct ChoiceSentence {
  std::string operator()(const routing::UseInstance &it) const {
    return absl::StrCat("The read went to ", it.Instance.str(), ".");
  }
  std::string operator()(const routing::WaitForCatchUp &it) const {
    return absl::StrCat("The read waited for ", it.Instance.str(),
                        " to catch up.");
  }
  std::string operator()(const routing::WaitForCapacity &) const {
    return "The read waited for a free connection or slot.";
  }
  std::string operator()(const routing::WaitForChange &it) const {
    return absl::StrCat("No instance would do: ",
                        std::string(resultRow(it.Why).Meaning));
  }
  std::string operator()(const routing::RefuseRead &it) const {
    return absl::StrCat("No instance will ever do: ",
                        std::string(resultRow(it.Why).Meaning));
  }
};

std::string sentence(const routing::RouteDecision &decision) {
  std::string out = std::visit(ChoiceSentence(), decision.Choice);
  for (const auto &it : decision.Considered) {
    absl::StrAppend(
        &out, " ", it.Instance.str(), " ",
        std::string(nameIn(routing::VerdictNames, it.InstanceVerdict)));
    if (it.Age)
      absl::StrAppendFormat(&out, " (%.0f ms old)", toMilliseconds(*it.Age));
    absl::StrAppend(&out, ";");
  }
  if (out.back() == ';')
    out.back() = '.';
  return out;
}

} // namespace

std::vector<std::string> describe(const DecisionRecord &record) {
  std::vector<std::string> lines;
  for (const auto &entry : record.Entries) {
    const auto text =
        std::visit([](const auto &it) { return sentence(it); }, entry.Content);
    lines.push_back(absl::StrFormat("After %.1f ms: %s",
                                    toMilliseconds(entry.Elapsed), text));
  }
  const auto &row = resultRow(record.Outcome);
  lines.push_back(absl::StrFormat(
      "Outcome after %.1f ms: %s (%s): %s", toMilliseconds(record.TotalTime),
      std::string(row.Name), std::string(nameOf(row.Class)),
      std::string(row.Meaning)));
  return lines;
}

} // namespace stepledge::request
