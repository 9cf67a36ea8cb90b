// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "ctl/CtlModule.h"

#include "ctl/internal/Commands.h"
#include "ctl/internal/HttpApiClient.h"

#include <CLI/CLI.hpp>

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace stepledge::ctl {

namespace {

using Action = ExitCode (Commands::*)();

/// The command line: every subcommand with what it does.
class CommandLine {
public:
  explicit CommandLine(CtlOptions &options) : Asked(options) {
    App.require_subcommand(1);
    App.add_option("--address", Asked.Address, "The daemon's IP number")
        ->envname("STEPLEDGE_ADDRESS");
    App.add_option("--port", Asked.Port, "The daemon's port for callers")
        ->envname("STEPLEDGE_PORT");
    App.add_flag("--json", Asked.Json, "Print the answer as JSON");
    App.add_option("--session", Asked.SessionFile,
                   "The file that keeps the session's token");
    App.add_option("--deadline", Asked.DeadlineMs, "Milliseconds allowed");
    addCallers();
    addOthers();
  }

  CLI::App &app() { return App; }
  Action chosen() const { return Chosen; }
  bool wantsCompletion() const { return Completion; }

  std::string completionScript() const {
    std::string words;
    for (const auto *it : App.get_subcommands({}))
      words += it->get_name() + " ";
    return "complete -W \"" + words +
           "--address --port --json --session --deadline\" stepledgectl\n";
  }

private:
  CLI::App *command(const std::string &name, const std::string &help,
                    Action action) {
    auto *it = App.add_subcommand(name, help);
    it->fallthrough();
    it->callback([this, action] { Chosen = action; });
    return it;
  }

  void addStatement(CLI::App &it) {
    it.add_option("statement", Asked.Statement, "SQL, with $1, $2, ...")
        ->required();
    it.add_option("parameters", Asked.Parameters, "Values of $1, $2, ...");
  }

  void addCallers() {
    auto *read = command("read", "Run a read", &Commands::read);
    read->add_option("database", Asked.Database)->required();
    addStatement(*read);
    read->add_option("--max-age", Asked.MaxAgeMs,
                     "Milliseconds the data may be old; 0: current");
    auto *write = command("write", "Run a write", &Commands::write);
    write->add_option("database", Asked.Database)->required();
    addStatement(*write);
    write->add_option("--key", Asked.Key, "Run at most once under this key");
    auto *begin = command("begin", "Open a transaction", &Commands::begin);
    begin->add_option("database", Asked.Database)->required();
    auto *statement = command("statement", "Run a statement of a transaction",
                              &Commands::statement);
    statement->add_option("transaction", Asked.Transaction)->required();
    statement->add_option("sequence", Asked.Sequence)->required();
    addStatement(*statement);
    auto *commit = command("commit", "Commit a transaction", &Commands::commit);
    commit->add_option("transaction", Asked.Transaction)->required();
    commit->add_option("sequence", Asked.Sequence)->required();
    auto *rollback =
        command("rollback", "Roll a transaction back", &Commands::rollback);
    rollback->add_option("transaction", Asked.Transaction)->required();
  }

  void addOthers() {
    auto *explain =
        command("explain", "Say why a decision was made", &Commands::explain);
    explain->add_option("decision", Asked.Decision)->required();
    command("ready", "Whether the daemon serves", &Commands::ready);
    auto *completion =
        App.add_subcommand("completion", "Print completion for bash");
    completion->callback([this] { Completion = true; });
  }

  CtlOptions &Asked;
  CLI::App App{"Asks a stepledged daemon."};
  Action Chosen = nullptr;
  bool Completion = false;
};

} // namespace

std::unique_ptr<IApiClient> makeApiClient(const CtlOptions &options) {
  return std::make_unique<HttpApiClient>(options);
}

int runCtl(int argc, const char *const *argv, std::ostream &out,
           std::ostream &err) {
  CtlOptions options;
  CommandLine line(options);
  try {
    line.app().parse(argc, argv);
  } catch (const CLI::ParseError &failure) {
    const int code = line.app().exit(failure, out, err);
    return code == 0 ? 0 : static_cast<int>(ExitCode::Usage);
  }
  if (line.wantsCompletion()) {
    out << line.completionScript();
    return 0;
  }
  const auto client = makeApiClient(options);
  Commands commands(options, *client, out, err);
  return static_cast<int>((commands.*line.chosen())());
}

} // namespace stepledge::ctl
