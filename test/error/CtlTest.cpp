// Runs sycamorewardctl as a separate process against a fake operators' API, to
// check concurrent changes, errors and exit codes.

#include "base/Clock.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpServer.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

extern char** environ;

using namespace sycamoreward;
using Json = nlohmann::json;

namespace {

constexpr std::chrono::seconds kTimeout{ 30 };
const std::string kExamples = std::string(SOURCE_DIRECTORY) + "/examples/";

std::string
ReadAll(const std::string& aFile)
{
  std::ifstream input(aFile);
  std::ostringstream text;
  text << input.rdbuf();
  return text.str();
}

struct CtlRun
{
  int exitCode_ = -1;
  std::string out_;
  std::string err_;
};

// A fake operators' and callers' API, and a folder for input files.
class Fixture
{
public:
  Fixture()
  {
    char name[] = "/tmp/ctl-test-XXXXXX";
    folder_ = mkdtemp(name);
  }
  ~Fixture() { std::filesystem::remove_all(folder_); }

  std::string Write(const std::string& aName, const std::string& aText)
  {
    std::ofstream(folder_ + "/" + aName) << aText;
    return folder_ + "/" + aName;
  }

  CtlRun RunCtl(std::vector<std::string> aArguments)
  {
    const std::string program =
      std::string(PROGRAM_DIRECTORY) + "/sycamorewardctl";
    aArguments.insert(aArguments.begin(), program);
    aArguments.push_back("--server=" + ToString(server_.BoundAddress()));
    aArguments.push_back("--callers=" + ToString(server_.BoundAddress()));
    std::vector<char*> argv;
    argv.reserve(aArguments.size() + 1);
    for (std::string& argument : aArguments) {
      argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    const std::string out = folder_ + "/out.txt";
    const std::string err = folder_ + "/err.txt";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const int flags = O_WRONLY | O_CREAT | O_TRUNC;
    posix_spawn_file_actions_addopen(&actions, 1, out.c_str(), flags, 0600);
    posix_spawn_file_actions_addopen(&actions, 2, err.c_str(), flags, 0600);
    pid_t pid = 0;
    cr_assert_eq(
      posix_spawn(
        &pid, program.c_str(), &actions, nullptr, argv.data(), environ),
      0);
    posix_spawn_file_actions_destroy(&actions);
    int status = 0;
    bool isDone = false;
    std::function<void()> poll = [&] {
      isDone = isDone || waitpid(pid, &status, WNOHANG) == pid;
      if (!isDone) {
        loop_.CallAfter(std::chrono::milliseconds(5), poll);
      }
    };
    poll();
    if (!loop_.RunUntil([&] { return isDone; }, kTimeout)) {
      kill(pid, SIGKILL);
      cr_assert(false, "the command did not end: %s", ReadAll(err).c_str());
    }
    return { WIFEXITED(status) ? WEXITSTATUS(status) : -1,
             ReadAll(out),
             ReadAll(err) };
  }

  SystemClock clock_;
  EventLoop loop_{ clock_ };
  // Resources by "Kind/name".
  std::map<std::string, Json> resources_;
  std::uint64_t revision_ = 0;
  int puts_ = 0;
  // Called before each write, to simulate a change by another operator.
  std::function<void()> onWrite_;
  // Fixed replies (status and body) by path, sent instead of the API's.
  std::map<std::string, std::pair<int, std::string>> fixedReplies_;
  // Revision in force in the second failure domain. Each GET of a resource
  // raises it by up to 6, as far as the current revision.
  std::uint64_t laggingRevision_ = 0;
  std::vector<std::string> receivedRequests_;

  void Store(const std::string& aKey, Json aDocument)
  {
    aDocument["metadata"]["resourceVersion"] = std::to_string(++revision_);
    resources_[aKey] = std::move(aDocument);
  }

private:
  static void Reply(HttpExchange& aExchange, int aStatus, const Json& aBody)
  {
    aExchange.Reply(
      aStatus, { { "Content-Type", "application/json" } }, aBody.dump());
  }

  void Handle(HttpExchange& aExchange)
  {
    const HttpServerRequest& request = aExchange.Request();
    receivedRequests_.push_back(std::string(ToString(request.method_)) + " " +
                                request.target_);
    const auto fixedReply = fixedReplies_.find(request.path_);
    if (fixedReply != fixedReplies_.end()) {
      aExchange.Reply(fixedReply->second.first, {}, fixedReply->second.second);
      return;
    }
    const std::string key = request.path_.substr(
      std::min(request.path_.size(), std::string("/apis/v1/").size()));
    if (request.query_.count("watch") > 0) {
      Watch(aExchange, key, std::stoull(request.query_.at("resourceVersion")));
    } else if (key.find('/') == std::string::npos) {
      Json items = Json::array();
      for (const auto& [name, document] : resources_) {
        if (name.rfind(key + "/", 0) == 0) {
          items.push_back(document);
        }
      }
      Reply(
        aExchange,
        200,
        { { "kind", key + "List" },
          { "metadata", { { "resourceVersion", std::to_string(revision_) } } },
          { "items", items } });
    } else if (request.method_ == HttpMethod::Get) {
      Get(aExchange, key);
    } else {
      Change(aExchange, key);
    }
  }

  void Get(HttpExchange& aExchange, const std::string& aKey)
  {
    if (resources_.count(aKey) == 0) {
      Reply(aExchange,
            404,
            { { "error",
                { { "code", "not_found" },
                  { "message", "There is no such resource." } } } });
      return;
    }
    Json document = resources_[aKey];
    document["status"]["inForce"] = { { "a", revision_ },
                                      { "b", laggingRevision_ } };
    laggingRevision_ = std::min(revision_, laggingRevision_ + 6);
    Reply(aExchange, 200, document);
  }

  void Change(HttpExchange& aExchange, const std::string& aKey)
  {
    if (onWrite_) {
      onWrite_();
    }
    const HttpServerRequest& request = aExchange.Request();
    const bool isDry = request.query_.count("dryRun") > 0;
    if (request.method_ == HttpMethod::Delete) {
      const bool exists = resources_.count(aKey) > 0;
      const auto expectedVersion = request.query_.find("resourceVersion");
      if (exists && expectedVersion != request.query_.end() &&
          resources_[aKey]["metadata"]["resourceVersion"] !=
            expectedVersion->second) {
        Reply(aExchange, 409, { { "error", { { "code", "conflict" } } } });
        return;
      }
      if (!isDry && exists) {
        resources_.erase(aKey);
        ++revision_;
      }
      Reply(aExchange, exists ? 200 : 404, Json::object());
      return;
    }
    ++puts_;
    const Json document = Json::parse(request.body_);
    const std::string storedVersion =
      resources_.count(aKey) > 0
        ? resources_[aKey]["metadata"].value("resourceVersion", "0")
        : "0";
    if (document["metadata"]["resourceVersion"] != storedVersion) {
      Reply(aExchange, 409, { { "error", { { "code", "conflict" } } } });
      return;
    }
    if (!isDry) {
      Store(aKey, document);
    }
    Reply(aExchange, 200, isDry ? document : resources_[aKey]);
  }

  void Watch(HttpExchange& aExchange,
             const std::string& aKind,
             std::uint64_t aSince)
  {
    if (aSince < 5) {
      Reply(aExchange, 410, { { "error", { { "code", "too_old" } } } });
      return;
    }
    // Sends one event for each connection, and then ends the stream.
    const std::string version = std::to_string(aSince + 1);
    const Json object = { { "kind", aKind },
                          { "metadata",
                            { { "name", "n" + version },
                              { "resourceVersion", version } } } };
    aExchange.StartReply(200, {});
    aExchange.SendChunk(
      Json({ { "type", "MODIFIED" }, { "object", object } }).dump() + "\n");
    aExchange.EndReply();
  }

  std::string folder_;
  HttpServer server_{ loop_,
                      {},
                      [this](std::shared_ptr<HttpExchange> aExchange) {
                        Handle(*aExchange);
                      } };
};

void
ExpectContains(const std::string& aText, const std::string& aSubstring)
{
  cr_assert(aText.find(aSubstring) != std::string::npos,
            "\"%s\" is not in: %s",
            aSubstring.c_str(),
            aText.c_str());
}

const std::string kWorkspace = "kind: Workspace\n"
                               "metadata: {name: ridge}\n"
                               "spec:\n"
                               "  share: 7\n";

} // namespace

// Guards against writes by an apply that changes nothing: each would create a
// new revision that all instances load.
Test(Ctl, SecondApplyWritesNothing)
{
  Fixture fixture;
  const std::string folder = kExamples + "lochgair";
  cr_assert_eq(fixture.RunCtl({ "diff", "-f", folder }).exitCode_, 1);
  const CtlRun first = fixture.RunCtl({ "apply", "--wait", "-f", folder });
  cr_assert_eq(first.exitCode_, 0, "%s", first.err_.c_str());
  cr_assert_eq(fixture.revision_, 12);
  cr_assert_eq(fixture.puts_, 12);
  ExpectContains(first.out_, "Service/sheet-review created at revision");
  ExpectContains(first.out_, "in force in 1 of 2 failure domains: a=12 b=0");
  ExpectContains(first.out_, "in force in 2 of 2 failure domains: a=12 b=12");
  const CtlRun second = fixture.RunCtl({ "apply", "-f", folder });
  cr_assert_eq(second.exitCode_, 0);
  cr_assert_eq(fixture.puts_, 12, "the second apply sent a write");
  const CtlRun diff = fixture.RunCtl({ "diff", "-f", folder });
  cr_assert_eq(diff.exitCode_, 0, "%s", diff.out_.c_str());
}

Test(Ctl, DryRunChangesNothing)
{
  Fixture fixture;
  const std::string folder = kExamples + "nadi";
  const CtlRun run = fixture.RunCtl({ "apply", "--dry-run", "-f", folder });
  cr_assert_eq(run.exitCode_, 0, "%s", run.err_.c_str());
  cr_assert_eq(fixture.revision_, 0);
  cr_assert_eq(fixture.puts_, 12);
}

Test(Ctl, PruneDeletesOnlyDeclaredKinds)
{
  Fixture fixture;
  const std::string file = fixture.Write("w.yaml", kWorkspace);
  fixture.Store(
    "Workspace/old",
    { { "kind", "Workspace" }, { "metadata", { { "name", "old" } } } });
  fixture.Store(
    "Service/keep",
    { { "kind", "Service" }, { "metadata", { { "name", "keep" } } } });
  cr_assert_eq(fixture.RunCtl({ "apply", "-f", file }).exitCode_, 0);
  cr_assert_eq(fixture.resources_.count("Workspace/old"), 1);
  cr_assert_eq(fixture.RunCtl({ "apply", "--prune", "-f", file }).exitCode_, 0);
  cr_assert_eq(fixture.resources_.count("Workspace/old"), 0);
  cr_assert_eq(fixture.resources_.count("Service/keep"), 1);
}

// Guards against deleting a resource that another operator changed since it was
// listed.
Test(Ctl, PruneKeepsConcurrentlyChangedResources)
{
  Fixture fixture;
  const std::string file = fixture.Write("w.yaml", kWorkspace);
  const Json old = { { "kind", "Workspace" },
                     { "metadata", { { "name", "old" } } } };
  fixture.Store("Workspace/old", old);
  fixture.onWrite_ = [&] { fixture.Store("Workspace/old", old); };
  const CtlRun run = fixture.RunCtl({ "apply", "--prune", "-f", file });
  cr_assert_eq(run.exitCode_, 2);
  ExpectContains(run.err_,
                 "Workspace/old: The resource was changed by another");
  cr_assert_eq(fixture.resources_.count("Workspace/old"), 1);
}

// Guards against overwriting another operator's concurrent change.
Test(Ctl, ApplyReportsConflictWithoutOverwriting)
{
  Fixture fixture;
  const std::string file = fixture.Write("w.yaml", kWorkspace);
  Json theirs = { { "kind", "Workspace" },
                  { "metadata", { { "name", "ridge" } } },
                  { "spec", { { "share", 9 } } } };
  fixture.onWrite_ = [&] { fixture.Store("Workspace/ridge", theirs); };
  const CtlRun lost = fixture.RunCtl({ "apply", "-f", file });
  cr_assert_eq(lost.exitCode_, 2);
  ExpectContains(lost.err_,
                 "was changed by another operator (read at version 0");
  cr_assert_eq(fixture.resources_["Workspace/ridge"]["spec"]["share"], 9);
  theirs["spec"]["share"] = 7;
  const CtlRun same = fixture.RunCtl({ "apply", "-f", file });
  cr_assert_eq(same.exitCode_, 0, "%s", same.err_.c_str());
  ExpectContains(same.out_, "to the same spec by another operator");
}

// All faults must be reported with file and line, without a request to the
// server.
Test(Ctl, InvalidFilesAreRejectedBeforeAnyRequest)
{
  Fixture fixture;
  const std::string file = fixture.Write("w.yaml",
                                         kWorkspace + "  colour: red\n---\n" +
                                           kWorkspace + "---\nkind: Thing\n");
  for (const char* command : { "validate", "diff", "apply" }) {
    const CtlRun run = fixture.RunCtl({ command, "-f", file });
    cr_assert_eq(run.exitCode_, 2);
    ExpectContains(run.err_, "w.yaml:5: spec.colour: ");
    ExpectContains(run.err_,
                   "w.yaml:8: metadata.name: Workspace/ridge is decl");
    ExpectContains(run.err_, "w.yaml:12: kind: ");
  }
  cr_assert(fixture.receivedRequests_.empty());
}

// Field errors from the server must be reported with the file and line of the
// field.
Test(Ctl, ServerErrorsNameFileAndLine)
{
  Fixture fixture;
  const std::string file = fixture.Write("w.yaml", kWorkspace);
  fixture.fixedReplies_["/apis/v1/Workspace/ridge"] = {
    422,
    R"({"error":{"code":"invalid","message":"Not right.",
        "details":[{"field":"spec.share","message":"Too large."}]}})"
  };
  const CtlRun run = fixture.RunCtl({ "apply", "-f", file });
  cr_assert_eq(run.exitCode_, 2);
  ExpectContains(run.err_, "status 422 (invalid): Not right.");
  ExpectContains(run.err_, "w.yaml:4: spec.share: Too large.");
}

Test(Ctl, WatchResumesAfterDisconnectsAndExpiredRevisions)
{
  Fixture fixture;
  fixture.revision_ = 7;
  const CtlRun run =
    fixture.RunCtl({ "watch", "Service", "--since", "2", "--events", "3" });
  cr_assert_eq(run.exitCode_, 0, "%s", run.err_.c_str());
  ExpectContains(run.err_, "Revision 2 is too old");
  ExpectContains(run.out_, "MODIFIED Service/n8 version 8");
  ExpectContains(run.out_, "MODIFIED Service/n10 version 10");
}

// The YAML that get prints must be accepted as input and show no difference.
Test(Ctl, GetYamlCanBeApplied)
{
  Fixture fixture;
  const std::string folder = kExamples + "lochgair";
  cr_assert_eq(fixture.RunCtl({ "apply", "-f", folder }).exitCode_, 0);
  const CtlRun got = fixture.RunCtl({ "get", "services", "-o", "yaml" });
  const std::string file = fixture.Write("got.yaml", got.out_);
  const CtlRun diff = fixture.RunCtl({ "diff", "-f", file });
  cr_assert_eq(diff.exitCode_, 0, "%s%s", diff.out_.c_str(), diff.err_.c_str());
}

Test(Ctl, RequestShowsAttemptsAndEvidence)
{
  Fixture fixture;
  fixture.fixedReplies_["/v1/requests/r%2F1"] = {
    200,
    R"({"id":"r/1","state":"ended","service":"certificate-issue",
        "outcome":"unknown","acceptedMs":1000,"endedMs":3500,
        "attempts":[{"number":1,"server":"desk-2","sentMs":1250,
                     "end":"connection broken"}],
        "answerDigest":"","answerLength":0,"evidence":"no status path"})"
  };
  const CtlRun run = fixture.RunCtl({ "request", "r/1" });
  cr_assert_eq(run.exitCode_, 0, "%s", run.err_.c_str());
  ExpectContains(run.out_,
                 "1970-01-01T00:00:01.250Z  attempt 1 at desk-2: connec");
  ExpectContains(run.out_, "outcome unknown");
  ExpectContains(run.out_, "evidence: no status path");
}

// A reply of an unexpected form must be reported as an error and not end the
// program by an uncaught exception.
Test(Ctl, MalformedRepliesAreErrors)
{
  Fixture fixture;
  for (const char* reply :
       { "", "[]", "{}", "{\"items\": [1]}", "{\"items\":" }) {
    fixture.fixedReplies_["/apis/v1/Service"] = { 200, reply };
    const CtlRun run = fixture.RunCtl({ "diff", "-f", kExamples + "nadi" });
    cr_assert_eq(run.exitCode_, 2, "%s: %s", reply, run.out_.c_str());
    ExpectContains(run.err_, "error: The reply of");
  }
}

Test(Ctl, InvalidCommandLinesAreRejected)
{
  Fixture fixture;
  for (const std::vector<std::string>& line :
       std::vector<std::vector<std::string>>{ {},
                                              { "aply" },
                                              { "apply" },
                                              { "get" },
                                              { "get", "Thing" },
                                              { "delete", "Service" },
                                              { "get", "service", "-o", "xml" },
                                              { "get", "service", "--colour" },
                                              { "validate", "-f", "/none" },
                                              { "explain", "Service.x" } }) {
    const CtlRun run = fixture.RunCtl(line);
    cr_assert_eq(run.exitCode_, 2);
    ExpectContains(run.err_, "error: ");
  }
  cr_assert(fixture.receivedRequests_.empty());
}

Test(Ctl, ExamplesAreValid)
{
  Fixture fixture;
  cr_assert_eq(
    fixture.RunCtl({ "validate", "-f", kExamples + "lochgair" }).exitCode_, 0);
  cr_assert_eq(
    fixture.RunCtl({ "validate", "-f", kExamples + "nadi" }).exitCode_, 0);
  const CtlRun run =
    fixture.RunCtl({ "validate", "--settings", "-f", kExamples + "settings" });
  cr_assert_eq(run.exitCode_, 0, "%s", run.err_.c_str());
}

// The committed page must equal the output of the program.
Test(Ctl, ReferencePageIsUpToDate)
{
  Fixture fixture;
  const CtlRun run = fixture.RunCtl({ "reference" });
  cr_assert(run.out_ ==
              ReadAll(std::string(SOURCE_DIRECTORY) + "/docs/reference.md"),
            "docs/reference.md is out of date; run: build/bin/sycamorewardctl "
            "reference > docs/reference.md");
}

// The lines of one request are spread over the logs of several instances, which
// also have lines that are not JSON.
Test(ExplainRequest, MergesLogsOfSeveralInstances)
{
  Fixture fixture;
  const std::string one = fixture.Write(
    "one.log",
    "not json\n"
    "{\"timeUs\":1000000,\"event\":\"store_lost\",\"table\":\"servers\"}\n"
    "{\"timeUs\":5000000,\"event\":\"request_end\",\"request\":\"r-1\","
    "\"outcome\":\"no_answer\",\"status\":502}\n"
    "{\"timeUs\":5000001,\"event\":\"request_end\",\"request\":\"r-2\"}\n");
  const std::string two = fixture.Write(
    "two.log",
    "  4.9 edge-2 {\"timeUs\":4000000,\"event\":\"placed\",\"request\":\"r-1\","
    "\"server\":\"s-1\"}\n");
  const CtlRun run = fixture.RunCtl({ "explain-request", one, two, "r-1" });
  cr_expect_eq(run.exitCode_, 0, "%s", run.err_.c_str());
  const auto placed = run.out_.find("placed server=\"s-1\"");
  const auto ended = run.out_.find("request_end outcome=\"no_answer\"");
  const auto lost = run.out_.find("store_lost");
  cr_assert(placed != std::string::npos && ended != std::string::npos &&
            lost != std::string::npos);
  cr_expect_lt(placed, ended);
  cr_expect_lt(ended, lost);
  cr_expect_eq(run.out_.find("r-2"), std::string::npos);
}

Test(ExplainRequest, ReportsUnknownRequestsAndUnreadableFiles)
{
  Fixture fixture;
  const std::string log = fixture.Write("empty.log", "");
  cr_expect_eq(fixture.RunCtl({ "explain-request", log, "r-1" }).exitCode_, 1);
  cr_expect_eq(
    fixture.RunCtl({ "explain-request", "/no/such", "r-1" }).exitCode_, 2);
  cr_expect_eq(fixture.RunCtl({ "explain-request", "r-1" }).exitCode_, 2);
}
