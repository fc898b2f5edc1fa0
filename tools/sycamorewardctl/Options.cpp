#include "Options.h"

#include "base/Error.h"
#include "sycamoreward/Version.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <cstdlib>
#include <map>

namespace sycamoreward {

namespace {

const char* const kCommands =
  "Commands:\n"
  "  validate -f PATH            check files; needs no server\n"
  "  validate --settings -f FILE check settings files of sycamorewardd\n"
  "  diff -f PATH [--prune]      compare files with the server\n"
  "  apply -f PATH [--prune] [--wait] [--dry-run]\n"
  "                              make the server's resources those of the "
  "files;\n"
  "                              --prune deletes resources of the kinds in "
  "the files\n"
  "                              that no file declares\n"
  "  get KIND [NAME]             show resources\n"
  "  watch KIND [--since N] [--events N]\n"
  "                              show changes as they happen\n"
  "  delete KIND NAME | delete -f PATH [--dry-run]\n"
  "  explain KIND[.FIELD]|settings\n"
  "                              show fields, units, ranges and defaults\n"
  "  request ID                  show attempts and outcome (--callers)\n"
  "  explain-request FILE... ID  show what logs of sycamoreward-edge report\n"
  "                              about a request\n"
  "  journal verify --table IP:PORT --object-store IP:PORT --bucket NAME\n"
  "                 --region NAME check the hash chain of the ledger\n"
  "  reference                   print the reference page in Markdown\n\n"
  "Exit codes: 0 done, and for diff: equal; 1 diff found a difference,\n"
  "journal verify a broken chain, or explain-request no line; 2 an error.\n";

// Minimum and maximum number of arguments of each command.
const std::map<std::string, std::pair<std::size_t, std::size_t>>
  kArgumentCounts{ { "validate", { 0, 0 } },
                   { "diff", { 0, 0 } },
                   { "apply", { 0, 0 } },
                   { "get", { 1, 2 } },
                   { "watch", { 1, 1 } },
                   { "delete", { 0, 2 } },
                   { "explain", { 1, 1 } },
                   { "request", { 1, 1 } },
                   { "reference", { 0, 0 } },
                   { "journal", { 1, 1 } },
                   { "explain-request", { 2, 1000 } } };

[[noreturn]] void
Fail(const std::string& aMessage)
{
  throw UserError("read command line", "", aMessage);
}

std::vector<Address>
ReadAddresses(const cxxopts::ParseResult& aResult,
              const char* aOption,
              const char* aVariable)
{
  std::vector<std::string> texts;
  if (aResult.count(aOption) > 0) {
    texts = aResult[aOption].as<std::vector<std::string>>();
  } else if (const char* value = std::getenv(aVariable)) {
    std::string item;
    for (const char* letter = value;; ++letter) {
      if (*letter == ',' || *letter == '\0') {
        if (!item.empty()) {
          texts.push_back(item);
        }
        item.clear();
      } else {
        item += *letter;
      }
      if (*letter == '\0') {
        break;
      }
    }
  }
  std::vector<Address> addresses;
  addresses.reserve(texts.size());
  for (const std::string& text : texts) {
    addresses.push_back(ParseAddress(text));
  }
  return addresses;
}

OutputFormat
ParseFormat(const std::string& aText)
{
  if (aText == "table") {
    return OutputFormat::Table;
  }
  if (aText == "json") {
    return OutputFormat::Json;
  }
  if (aText == "yaml") {
    return OutputFormat::Yaml;
  }
  Fail("The output format \"" + aText +
       "\" is unknown; valid are -o table, -o json and -o yaml.");
}

void
CheckArguments(const CtlOptions& aOptions)
{
  const auto entry = kArgumentCounts.find(aOptions.command_);
  if (entry == kArgumentCounts.end()) {
    Fail("The command \"" + aOptions.command_ +
         "\" is unknown; --help lists the commands.");
  }
  const auto [minCount, maxCount] = entry->second;
  const std::size_t count = aOptions.arguments_.size();
  const bool isDelete = aOptions.command_ == "delete";
  const bool needsFiles =
    aOptions.command_ == "validate" || aOptions.command_ == "diff" ||
    aOptions.command_ == "apply" || (isDelete && count == 0);
  if (count < minCount || count > maxCount || (isDelete && count == 1)) {
    Fail("The command \"" + aOptions.command_ + "\" has " +
         std::to_string(count) +
         " arguments, which is not valid; --help shows its usage.");
  }
  if (aOptions.command_ == "journal") {
    if (aOptions.arguments_.front() != "verify") {
      Fail("The command \"journal " + aOptions.arguments_.front() +
           "\" is unknown; use journal verify.");
    }
    if (aOptions.table_.size() != 1 || aOptions.objectStore_.size() != 1 ||
        aOptions.bucket_.empty() || aOptions.region_.empty()) {
      Fail("The command \"journal verify\" requires --table, --object-store, "
           "--bucket and --region, each once.");
    }
  }
  if (needsFiles == aOptions.files_.empty()) {
    Fail(needsFiles ? "The command \"" + aOptions.command_ +
                        "\" requires -f with a file or folder."
                    : "The command \"" + aOptions.command_ +
                        "\" does not accept -f here.");
  }
}

cxxopts::Options
DeclareOptions()
{
  using Texts = std::vector<std::string>;
  cxxopts::Options options("sycamorewardctl",
                           "Manages the declared resources of sycamoreward.\n");
  options.positional_help("COMMAND [ARGUMENT...]");
  auto add = options.add_options();
  add("f,file",
      "File or folder of resources; may be given several times",
      cxxopts::value<Texts>());
  add("o,output",
      "table, json or yaml",
      cxxopts::value<std::string>()->default_value("table"));
  add("server",
      "IP:PORT of operators' APIs, separated by commas; or SYCAMOREWARD_SERVER",
      cxxopts::value<Texts>());
  add("callers",
      "IP:PORT of callers' APIs, separated by commas; or SYCAMOREWARD_CALLERS",
      cxxopts::value<Texts>());
  add("table", "IP:PORT of the platform's table", cxxopts::value<Texts>());
  add("table-name",
      "Name of the table",
      cxxopts::value<std::string>()->default_value("sycamoreward"));
  add("object-store", "IP:PORT of the object store", cxxopts::value<Texts>());
  add("bucket",
      "Bucket of the ledger's segments",
      cxxopts::value<std::string>()->default_value(""));
  add("region",
      "Region of the ledger",
      cxxopts::value<std::string>()->default_value(""));
  add("token-file", "File with the token", cxxopts::value<std::string>());
  add("dry-run", "Let the server validate the changes without applying them");
  add("prune", "Delete resources that no file declares");
  add("wait", "Wait until the change is in force in every failure domain");
  add("wait-seconds",
      "Timeout of --wait, in seconds",
      cxxopts::value<unsigned>()->default_value("60"));
  add("settings", "validate: the files are settings files");
  add("since",
      "watch: begin after this revision",
      cxxopts::value<std::uint64_t>()->default_value("0"));
  add("events",
      "watch: end after this many events",
      cxxopts::value<std::uint64_t>()->default_value("0"));
  add("h,help", "Show this text");
  add("version", "Show the version");
  add("words", "", cxxopts::value<Texts>());
  options.parse_positional({ "words" });
  return options;
}

CtlOptions
MakeCtlOptions(const cxxopts::ParseResult& aResult)
{
  CtlOptions options;
  const auto positional = aResult["words"].as<std::vector<std::string>>();
  options.command_ = positional.front();
  options.arguments_.assign(positional.begin() + 1, positional.end());
  if (aResult.count("file") > 0) {
    options.files_ = aResult["file"].as<std::vector<std::string>>();
  }
  options.format_ = ParseFormat(aResult["output"].as<std::string>());
  options.servers_ = ReadAddresses(aResult, "server", "SYCAMOREWARD_SERVER");
  options.callers_ = ReadAddresses(aResult, "callers", "SYCAMOREWARD_CALLERS");
  if (aResult.count("token-file") > 0) {
    options.tokenFile_ = aResult["token-file"].as<std::string>();
  }
  options.table_ = ReadAddresses(aResult, "table", "SYCAMOREWARD_TABLE");
  options.tableName_ = aResult["table-name"].as<std::string>();
  options.objectStore_ =
    ReadAddresses(aResult, "object-store", "SYCAMOREWARD_OBJECT_STORE");
  options.bucket_ = aResult["bucket"].as<std::string>();
  options.region_ = aResult["region"].as<std::string>();
  options.isDryRun_ = aResult.count("dry-run") > 0;
  options.isPrune_ = aResult.count("prune") > 0;
  options.isWait_ = aResult.count("wait") > 0;
  options.isSettings_ = aResult.count("settings") > 0;
  options.waitTimeout_ =
    std::chrono::seconds(aResult["wait-seconds"].as<unsigned>());
  options.since_ = aResult["since"].as<std::uint64_t>();
  options.maxEvents_ = aResult["events"].as<std::uint64_t>();
  CheckArguments(options);
  return options;
}

} // namespace

CtlOptions
ParseCtlOptions(int aCount, const char* const* aArguments)
{
  cxxopts::Options declared = DeclareOptions();
  try {
    const cxxopts::ParseResult result = declared.parse(aCount, aArguments);
    CtlOptions options;
    if (result.count("help") > 0) {
      options.infoText_ = declared.help() + "\n" + kCommands;
      return options;
    }
    if (result.count("version") > 0) {
      options.infoText_ = std::string("sycamorewardctl ") + kVersion + "\n";
      return options;
    }
    if (result.count("words") == 0) {
      Fail("The command is missing; --help lists the commands.");
    }
    return MakeCtlOptions(result);
  } catch (const cxxopts::exceptions::exception& error) {
    Fail("The command line is invalid: " + std::string(error.what()) +
         "; --help shows the options.");
  }
}

} // namespace sycamoreward
