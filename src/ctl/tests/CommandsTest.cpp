// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// Commands ask the right path, print in plain lines, and end with the exit
// code of the result's class.

#include "ctl/internal/Commands.h"
#include "ctl/CtlModule.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include <filesystem>
#include <sstream>

using namespace stepledge::ctl;
using nlohmann::json;

namespace {

class FakeClient : public IApiClient {
public:
  std::optional<ApiReply> get(const std::string &path) override {
    Path = path;
    return Next;
  }
  std::optional<ApiReply> post(const std::string &path, const std::string &body,
                               const std::string &sessionToken) override {
    Path = path;
    Body = body;
    Token = sessionToken;
    return Next;
  }

  std::optional<ApiReply> Next;
  std::string Path;
  std::string Body;
  std::string Token;
};

struct Fixture {
  CtlOptions Options;
  FakeClient Client;
  std::ostringstream Out;
  std::ostringstream Err;
  Commands All{Options, Client, Out, Err};
};

} // namespace

TEST_CASE("Commands_ReadPrintsRowsAndAge") {
  Fixture fixture;
  fixture.Options.Database = "bookings";
  fixture.Options.Statement = "SELECT slot FROM booking";
  fixture.Options.MaxAgeMs = 500;
  fixture.Client.Next = ApiReply{
      200,
      R"({"class":"ran","columns":["slot"],"rows":[["mon-9"],[null]],)"
      R"("answered_by":"bookings-2","from_replica":true,"age_ms":12.7,)"
      R"("decision":"vm-1"})",
      ""};
  CHECK(fixture.All.read() == ExitCode::Ran);
  CHECK(fixture.Out.str() ==
        "slot\nmon-9\nNULL\nanswered by bookings-2 (replica), at most 12 ms "
        "old\ndecision vm-1\n");
  CHECK(fixture.Client.Path == "/v1/databases/bookings/read");
  CHECK(json::parse(fixture.Client.Body)["max_age_ms"] == 500);
}

TEST_CASE("Commands_ExitCodeFollowsTheClass") {
  Fixture fixture;
  fixture.Client.Next =
      ApiReply{503, R"({"class":"not run","result":"no-primary"})", ""};
  CHECK(fixture.All.write() == ExitCode::NotRun);
  fixture.Client.Next = ApiReply{502, R"({"class":"unknown"})", ""};
  CHECK(fixture.All.write() == ExitCode::Unknown);
  fixture.Client.Next = std::nullopt;
  CHECK(fixture.All.write() == ExitCode::Unreachable);
}

TEST_CASE("Commands_SessionFileKeepsTheToken") {
  Fixture fixture;
  const auto path =
      std::filesystem::temp_directory_path() / "stepledge-ctl-session-test";
  std::filesystem::remove(path);
  fixture.Options.SessionFile = path.string();
  fixture.Client.Next = ApiReply{200, R"({"class":"ran","columns":[]})", "t1"};
  fixture.All.write();
  CHECK(fixture.Client.Token.empty());
  fixture.All.write();
  CHECK(fixture.Client.Token == "t1");
  std::filesystem::remove(path);
}

TEST_CASE("Ctl_WrongUsageHasItsOwnExitCode") {
  std::ostringstream out;
  std::ostringstream err;
  const char *const wrong[] = {"stepledgectl", "paint"};
  CHECK(runCtl(2, wrong, out, err) == static_cast<int>(ExitCode::Usage));
  const char *const completion[] = {"stepledgectl", "completion"};
  CHECK(runCtl(2, completion, out, err) == 0);
  CHECK(out.str().find("explain") != std::string::npos);
}
