#pragma once

// A program of the project, started by a test as a process of its own.

#include <sys/types.h>

#include <string>
#include <vector>

namespace sycamoreward {

class ChildProcess
{
public:
  // Starts PROGRAM_DIRECTORY/aProgram and reads its first line of output, which
  // is a JSON object with the addresses in use. Fails the test when the program
  // does not print one. Log output goes to aLogFile, or is dropped when empty.
  // With aKeepsOutput the rest of the output can be read.
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               const std::string& aLogFile = "",
               bool aKeepsOutput = false);

  // Kills the process when it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  const std::string& FirstLine() const { return firstLine_; }
  pid_t Pid() const { return pid_; }
  // Output after the first line, so far.
  const std::string& Output();

  // SIGKILL and wait.
  void Kill();
  // SIGSTOP and SIGCONT.
  void Suspend();
  void Resume();
  // SIGTERM without waiting.
  void Terminate();
  // Waits for the end for at most aSeconds; returns the exit code, or -1 when
  // it did not end or ended by a signal.
  int WaitForExit(int aSeconds);

private:
  pid_t pid_ = -1;
  std::string firstLine_;
  std::string output_;
  // Unset when the output is not kept.
  int outputFd_ = -1;
};

} // namespace sycamoreward
