#pragma once

// Runs a program of the project as a child process of a test.

#include <sys/types.h>

#include <string>
#include <vector>

namespace sycamoreward {

class ChildProcess
{
public:
  // Starts PROGRAM_DIRECTORY/aProgram and reads its first line of output, which
  // is a JSON object with the addresses in use. Fails the test if the program
  // does not print one. Log output is written to aLogFile, or discarded if that
  // is empty. If aKeepsOutput is set, Output() returns the rest of the output.
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               const std::string& aLogFile = "",
               bool aKeepsOutput = false);

  // Kills the process if it is still running.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  const std::string& FirstLine() const { return firstLine_; }
  pid_t Pid() const { return pid_; }
  // Returns the output received so far, without the first line.
  const std::string& Output();

  // Sends SIGKILL and waits for the process to end.
  void Kill();
  // Suspend the process with SIGSTOP and resume it with SIGCONT.
  void Suspend();
  void Resume();
  // Sends SIGTERM without waiting for the process to end.
  void Terminate();
  // Waits at most aSeconds for the process to exit. Returns the exit code, or
  // -1 if it did not exit or was ended by a signal.
  int WaitForExit(int aSeconds);

private:
  // Sends a signal if the process has not been waited for.
  void Signal(int aSignal) const;

  pid_t pid_ = -1;
  std::string firstLine_;
  std::string output_;
  // -1 if the output is not kept.
  int outputFd_ = -1;
};

} // namespace sycamoreward
