// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What callers are told whose requests wait as the daemon exits.

#include "daemon/internal/RequestService.h"

#include "base/ResultTable.h"
#include "observe/ObserveModule.h"

#include <doctest/doctest.h>

#include <memory>
#include <vector>

using namespace stepledge;
using namespace stepledge::daemon;

namespace {

class FakeMesh : public mesh::IMesh {
public:
  bool send(const VmId &to, const mesh::wire::Envelope &envelope) override {
    (void)to;
    if (IsConnected)
      Sent.push_back(envelope);
    return IsConnected;
  }
  void setReceiver(Receiver receiver) override { (void)receiver; }

  bool IsConnected = true;
  std::vector<mesh::wire::Envelope> Sent;
};

struct Fixture {
  Fixture() {
    Config.Vm = VmId("vm-1");
    Service = std::make_unique<RequestService>(
        Context, Config, Observers{*Log, *Metrics, *Tracer, *Journal}, 1);
    Service->setMesh(&Mesh);
    Service->start();
  }

  /// Commits a transaction that another VM owns.
  void commit() {
    api::CallerSubmission submission;
    submission.Request.Operation =
        request::CommitCall{TransactionId("vm-2.orders.1.ab"), 2};
    submission.TimeAllowed = milliseconds(20000);
    Service->submit(std::move(submission), [this](const auto &it) {
      Answers.push_back(it.Answer.Code);
    });
  }

  settings::Settings Config;
  asio::io_context Context;
  std::unique_ptr<observe::ILog> Log = observe::makeLog("error");
  std::unique_ptr<observe::IMetrics> Metrics = observe::makeMetrics();
  std::unique_ptr<observe::ITracer> Tracer = observe::makeTracer("", "vm-1");
  std::unique_ptr<observe::IDecisionJournal> Journal =
      observe::makeDecisionJournal(10);
  FakeMesh Mesh;
  std::vector<ResultCode> Answers;
  std::unique_ptr<RequestService> Service;
};

} // namespace

TEST_CASE("RequestService_OutcomeOfAForwardedRequestIsUnknownAtTheEnd") {
  Fixture it;
  it.commit();
  REQUIRE(it.Mesh.Sent.size() == 1);
  REQUIRE(it.Answers.empty());
  it.Service->endAll();
  CHECK(it.Answers == std::vector{ResultCode::OwnerSilent});
  CHECK(it.Service->isDrained());
}

TEST_CASE("RequestService_RequestThatIsBeingHandedOverIsAnsweredAtTheEnd") {
  Fixture it;
  it.Mesh.IsConnected = false;
  it.commit();
  REQUIRE(it.Answers.empty());
  it.Service->endAll();
  // NOTE: it may still be handed over before the process is gone.
  CHECK(it.Answers == std::vector{ResultCode::OwnerSilent});
}

TEST_CASE("RequestService_RequestAfterTheEndIsNotRun") {
  Fixture it;
  it.Service->endAll();
  it.commit();
  CHECK(it.Answers == std::vector{ResultCode::Stopping});
  CHECK(it.Mesh.Sent.empty());
}
