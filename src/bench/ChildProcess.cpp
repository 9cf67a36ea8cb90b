// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "bench/ChildProcess.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace stepledge::bench {

namespace {

/// The file actions of one spawn, destroyed with it.
class FileActions {
public:
  FileActions() { posix_spawn_file_actions_init(&Actions); }
  ~FileActions() { posix_spawn_file_actions_destroy(&Actions); }
  FileActions(const FileActions &) = delete;
  FileActions &operator=(const FileActions &) = delete;

  void outputTo(const std::string &path) {
    posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  }

  /// NOTE: a child that holds a copy of a socket keeps its connection open
  /// after the parent has closed it.
  void closeOthers() {
    posix_spawn_file_actions_addclosefrom_np(&Actions, STDERR_FILENO + 1);
  }

  posix_spawn_file_actions_t *get() { return &Actions; }

private:
  posix_spawn_file_actions_t Actions{};
};

} // namespace

ChildProcess::ChildProcess(const std::string &program,
                           const std::vector<std::string> &arguments,
                           const std::string &logPath) {
  std::vector<char *> argv;
  argv.push_back(const_cast<char *>(program.c_str()));
  for (const auto &it : arguments)
    argv.push_back(const_cast<char *>(it.c_str()));
  argv.push_back(nullptr);
  FileActions actions;
  actions.outputTo(logPath);
  actions.closeOthers();
  if (posix_spawn(&Id, program.c_str(), actions.get(), nullptr, argv.data(),
                  environ) != 0)
    throw std::runtime_error("can't start " + program);
}

ChildProcess::~ChildProcess() { kill(); }

void ChildProcess::signal(int number) const {
  if (Id > 0)
    ::kill(Id, number);
}

void ChildProcess::kill() {
  signal(SIGKILL);
  wait();
}

void ChildProcess::sendTerm() const { signal(SIGTERM); }

int ChildProcess::terminate() {
  sendTerm();
  return wait();
}

int ChildProcess::wait() {
  if (Id <= 0)
    return ExitCode;
  int status = 0;
  if (waitpid(Id, &status, 0) == Id && WIFEXITED(status))
    ExitCode = WEXITSTATUS(status);
  Id = -1;
  return ExitCode;
}

bool ChildProcess::hasEnded() {
  int status = 0;
  if (Id > 0 && waitpid(Id, &status, WNOHANG) == Id) {
    ExitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    Id = -1;
  }
  return Id <= 0;
}

void ChildProcess::reload() const { signal(SIGHUP); }

void ChildProcess::freeze() const { signal(SIGSTOP); }

void ChildProcess::thaw() const { signal(SIGCONT); }

} // namespace stepledge::bench
