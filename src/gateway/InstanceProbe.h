// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A control VM's connections to instances, for questions about them.

#ifndef STEPLEDGE_GATEWAY_INSTANCEPROBE_H
#define STEPLEDGE_GATEWAY_INSTANCEPROBE_H

#include "control/ControlNode.h"
#include "control/IPromoter.h"
#include "gateway/ILineCodec.h"
#include "gateway/internal/InstanceLink.h"
#include "gateway/internal/ProbeAnswerCheck.h"
#include "gateway/internal/QuestionQueue.h"

#include <functional>
#include <map>
#include <memory>

namespace stepledge::gateway {

class InstanceProbe : public control::IInstanceProbe {
public:
  using ReadClock = std::function<TimePoint()>;

  InstanceProbe(asio::io_context &context, const ILineCodec &codec,
                ReadClock clock, control::IControlLog &log)
      : Context(context), Codec(codec), Clock(std::move(clock)), Log(log) {}

  void askStatus(const membership::InstanceRecord &instance,
                 std::function<void(std::optional<control::InstanceStatus>)>
                     onDone) override;
  void pause(const membership::InstanceRecord &instance, Term term,
             std::function<void(std::optional<control::PausedStatus>)> onDone)
      override;
  void demote(const membership::InstanceRecord &instance, Term term,
              std::function<void(std::optional<control::InstanceStatus>)>
                  onDone) override;
  void resume(const membership::InstanceRecord &instance,
              std::function<void(bool)> onDone) override;
  void ping(const membership::InstanceRecord &instance,
            std::function<void(bool)> onDone) override;
  void cancelRequests(const InstanceId &instance) override;
  void retainConnections(const std::set<InstanceId> &instances) override;

private:
  struct Connection {
    explicit Connection(const ILineCodec &codec) : Answers(codec) {}

    InstanceId Instance;
    /// It is opened for one question, and closed after its answer.
    bool IsForOneQuestion = false;
    std::shared_ptr<InstanceLink> Link;
    bool IsReady = false;
    /// Lines for the instance until it has accepted the connection.
    std::string Unsent;
    std::size_t UnsentAnswers = 0;
    QuestionQueue Questions;
    ProbeAnswerCheck Answers;
  };

  /// Asks \p lines, which get \p replies replies; the first one counts.
  void ask(const membership::InstanceRecord &instance, QuestionKind kind,
           const std::string &lines, int replies, OnReply onDone);
  /// The number of the connection for such a question, which is opened if there
  /// is none.
  std::uint64_t connectionFor(const membership::InstanceRecord &instance,
                              QuestionKind kind);
  void connect(const membership::InstanceRecord &instance,
               std::uint64_t number);
  void connected(std::uint64_t number, const proxy::StatementReply &reply);
  void answered(std::uint64_t number, const proxy::StatementReply &reply);
  /// Gives the connection up if it owes an answer by then.
  void watch(std::uint64_t number);
  void lost(std::uint64_t number);

  asio::io_context &Context;
  const ILineCodec &Codec;
  ReadClock Clock;
  control::IControlLog &Log;
  /// By number: a later connection to the same instance has another one.
  std::map<std::uint64_t, Connection> Connections;
  std::uint64_t LastNumber = 0;
};

} // namespace stepledge::gateway

#endif // STEPLEDGE_GATEWAY_INSTANCEPROBE_H
