// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Runs a session script: sends its events to the coordinator and writes
/// down the effects.
///
/// Lines of a script (times in milliseconds, positions as TERM:OFFSET):
///   instance NAME HALL          must come first
///   acknowledge primary         instead of a majority
///   state NAME ROLE TERM POS [HISTORY]   the state that NAME reports now
///   silent NAME on|off          NAME does not answer polls
///   at MS                       advances the clock to that time
///   read ID max_age=N|- marks=M SQL
///   write ID key=K|- marks=M SQL
///   begin ID | statement ID TX SEQ SQL | commit ID TX SEQ | rollback ID TX
///   reply BATCH ok [VALUE]      every step succeeds; a look-up of a key
///                               finds VALUE, as DIGEST/RESULT or same/RESULT
///   reply BATCH fail STEP STATE the step fails, those after it are skipped
///   again BATCH                 the same answer is delivered again
///   lose BATCH                  its connection is lost
///   leaving NAME on|off | stop | end
/// Lines that begin with ">" are effects; polls of instances and the opening
/// of connections are left out.

#ifndef STEPLEDGE_REQUEST_TESTS_SESSIONSCRIPT_H
#define STEPLEDGE_REQUEST_TESTS_SESSIONSCRIPT_H

#include "request/IRequestCoordinator.h"
#include "routing/types/Observation.h"
#include "settings/types/Settings.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace stepledge::request {

class SessionScript {
public:
  /// Runs \p script and returns it with its effects in place.
  std::string run(const std::string &script);

private:
  using Words = std::vector<std::string>;

  struct SentBatch {
    ConnectionId Connection;
    upstream::Batch Batch;
    upstream::BatchResult Answer;
  };

  void runLine(const std::string &text);
  void runCommand(const Words &words);
  void advanceTo(TimePoint when);
  void sendEvent(const Event &event);
  void applyEffects(const Effects &effects);
  void show(const RunBatch &run);
  void show(const SendAnswer &sent);
  void submit(const Words &words);
  Call callOf(const Words &words) const;
  void reply(const Words &words);
  upstream::StepResult stepAnswer(const std::string &sql,
                                  const InstanceId &instance,
                                  const std::string &value) const;
  std::string textFrom(const Words &words, std::size_t from) const;
  bool isPoll(const upstream::Batch &batch) const;
  void out(const std::string &text);

  settings::Settings Config;
  std::unique_ptr<IRequestCoordinator> Coordinator;
  TimePoint Now;
  std::map<ConnectionId, InstanceId> Connections;
  std::map<InstanceId, routing::Observation> States;
  std::set<InstanceId> SilentInstances;
  std::map<std::string, SentBatch> Batches;
  std::map<RequestId, std::string> Names;
  std::map<std::string, TransactionId> Transactions;
  std::vector<Event> QueuedEvents;
  /// The digest that the latest key was inserted with.
  std::string LastDigest;
  std::string Output;
};

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_TESTS_SESSIONSCRIPT_H
