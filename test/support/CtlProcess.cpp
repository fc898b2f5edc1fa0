#include "support/CtlProcess.h"

#include "support/Deployment.h"

#include <criterion/criterion.h>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

extern char** environ;

namespace sycamoreward {

namespace {

constexpr int kTimeoutSeconds = 30;

std::string
ReadAll(const std::string& aFile)
{
  std::ifstream input(aFile);
  std::ostringstream text;
  text << input.rdbuf();
  return text.str();
}

pid_t
Spawn(std::vector<std::string>& aCommand,
      const std::string& aOut,
      const std::string& aErr)
{
  std::vector<char*> argv;
  argv.reserve(aCommand.size() + 1);
  for (std::string& argument : aCommand) {
    argv.push_back(argument.data());
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const int flags = O_WRONLY | O_CREAT | O_TRUNC;
  posix_spawn_file_actions_addopen(&actions, 1, aOut.c_str(), flags, 0600);
  posix_spawn_file_actions_addopen(&actions, 2, aErr.c_str(), flags, 0600);
  pid_t pid = 0;
  const int error =
    posix_spawn(&pid, argv.front(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  cr_assert_eq(error, 0);
  return pid;
}

} // namespace

CtlRun
RunCtlProcess(Deployment& aDeployment,
              unsigned aEntry,
              std::vector<std::string> aArguments)
{
  char pattern[] = "/tmp/sycamoreward-ctl-XXXXXX";
  const std::string folder = mkdtemp(pattern);
  std::ofstream(folder + "/token") << kOperatorToken;
  const std::string out = folder + "/out";
  const std::string err = folder + "/err";
  aArguments.insert(aArguments.begin(),
                    std::string(PROGRAM_DIRECTORY) + "/sycamorewardctl");
  aArguments.push_back("--server=" +
                       ToString(aDeployment.OperatorAddress(aEntry)));
  aArguments.push_back("--token-file=" + folder + "/token");
  const pid_t pid = Spawn(aArguments, out, err);
  int status = 0;
  bool isDone = false;
  aDeployment.WaitFor(
    [&] {
      isDone = isDone || waitpid(pid, &status, WNOHANG) == pid;
      return isDone;
    },
    kTimeoutSeconds);
  if (!isDone) {
    kill(pid, SIGKILL);
    waitpid(pid, &status, 0);
  }
  CtlRun run{ WIFEXITED(status) ? WEXITSTATUS(status) : -1,
              ReadAll(out),
              ReadAll(err) };
  std::filesystem::remove_all(folder);
  cr_assert(isDone, "the command did not end: %s", run.err_.c_str());
  return run;
}

} // namespace sycamoreward
