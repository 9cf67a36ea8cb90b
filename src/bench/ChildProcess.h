// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A process that the trial started, ended with it.

#ifndef STEPLEDGE_BENCH_CHILDPROCESS_H
#define STEPLEDGE_BENCH_CHILDPROCESS_H

#include <sys/types.h>

#include <string>
#include <vector>

namespace stepledge::bench {

class ChildProcess {
public:
  /// Starts \p program; its output is appended to \p logPath. Throws
  /// std::runtime_error where it can't be started.
  ChildProcess(const std::string &program,
               const std::vector<std::string> &arguments,
               const std::string &logPath);
  ~ChildProcess();

  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Ends it at once, as a lost VM does.
  void kill();
  /// Asks it to stop, and waits; returns its exit code, or -1.
  int terminate();
  void sendTerm() const;
  /// Its exit code once it has ended; waits for that.
  int wait();
  /// It has ended by itself, or was ended; doesn't wait.
  bool hasEnded();
  void reload() const;
  void freeze() const;
  void thaw() const;
  pid_t id() const { return Id; }

private:
  void signal(int number) const;

  pid_t Id = -1;
  int ExitCode = -1;
};

} // namespace stepledge::bench

#endif // STEPLEDGE_BENCH_CHILDPROCESS_H
