#include "support/ChildProcess.h"

#include <criterion/criterion.h>

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <thread>

namespace sycamoreward {

namespace {

constexpr int kStartLimitMs = 20'000;

std::string
ReadLine(int aFd)
{
  std::string line;
  char character = 0;
  pollfd ready{ aFd, POLLIN, 0 };
  while (poll(&ready, 1, kStartLimitMs) == 1 && read(aFd, &character, 1) == 1) {
    if (character == '\n') {
      return line;
    }
    line.push_back(character);
  }
  return "";
}

[[noreturn]] void
RunChild(const std::string& aPath,
         const std::vector<std::string>& aArguments,
         const std::string& aLogFile,
         int aOutput)
{
  // Ends the child when the test process ends, even if that crashes.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(aOutput, STDOUT_FILENO);
  const char* log = aLogFile.empty() ? "/dev/null" : aLogFile.c_str();
  const int logFd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(logFd, STDERR_FILENO);
  std::vector<char*> arguments;
  arguments.push_back(const_cast<char*>(aPath.c_str()));
  for (const std::string& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  execv(aPath.c_str(), arguments.data());
  _exit(127);
}

} // namespace

ChildProcess::ChildProcess(const std::string& aProgram,
                           const std::vector<std::string>& aArguments,
                           const std::string& aLogFile,
                           bool aKeepsOutput)
{
  const std::string path = std::string(PROGRAM_DIRECTORY) + "/" + aProgram;
  int ends[2];
  cr_assert_eq(pipe2(ends, O_CLOEXEC), 0);
  pid_ = fork();
  if (pid_ == 0) {
    RunChild(path, aArguments, aLogFile, ends[1]);
  }
  close(ends[1]);
  firstLine_ = ReadLine(ends[0]);
  if (aKeepsOutput) {
    outputFd_ = ends[0];
    fcntl(outputFd_, F_SETFL, O_NONBLOCK);
  } else {
    close(ends[0]);
  }
  cr_assert(
    !firstLine_.empty(), "%s did not print its address", aProgram.c_str());
}

ChildProcess::~ChildProcess()
{
  Kill();
  if (outputFd_ >= 0) {
    close(outputFd_);
  }
}

const std::string&
ChildProcess::Output()
{
  char block[4096];
  ssize_t size = 0;
  while (outputFd_ >= 0 && (size = read(outputFd_, block, sizeof block)) > 0) {
    output_.append(block, std::size_t(size));
  }
  return output_;
}

void
ChildProcess::Kill()
{
  if (pid_ <= 0) {
    return;
  }
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

void
ChildProcess::Signal(int aSignal) const
{
  // A negative id would signal every process of the machine.
  if (pid_ > 0) {
    kill(pid_, aSignal);
  }
}

void
ChildProcess::Suspend()
{
  Signal(SIGSTOP);
}

void
ChildProcess::Resume()
{
  Signal(SIGCONT);
}

void
ChildProcess::Terminate()
{
  Signal(SIGTERM);
}

int
ChildProcess::WaitForExit(int aSeconds)
{
  const auto end =
    std::chrono::steady_clock::now() + std::chrono::seconds(aSeconds);
  while (std::chrono::steady_clock::now() < end) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return -1;
}

} // namespace sycamoreward
