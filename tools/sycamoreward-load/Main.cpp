// sycamoreward-load: loads entry instances and reports what callers saw.

#include "Bench.h"
#include "Mix.h"

#include "base/Error.h"

#include <cxxopts.hpp>

#include <iostream>

using namespace sycamoreward;
using namespace sycamoreward::load;

namespace {

const char* const kUsage = "Usage: sycamoreward-load bench|source|mix|check "
                           "[options]; --help lists them.\n";

int
Bench(int aCount, char** aArguments, bool aIsSource)
{
  cxxopts::Options options(
    aIsSource ? "sycamoreward-load source" : "sycamoreward-load bench",
    aIsSource ? "Runs a source of streams to measure against."
              : "Measures the latency that an instance adds.");
  auto add = options.add_options();
  add("via", "Entry instance, IP:PORT", cxxopts::value<std::string>());
  add("source", "Running source, IP:PORT", cxxopts::value<std::string>());
  add("direct",
      "Where the in-process source listens, IP:PORT",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
  add(
    "model", "Service", cxxopts::value<std::string>()->default_value("bench"));
  add("token", "Token", cxxopts::value<std::string>()->default_value(""));
  add("rate", "Requests/s", cxxopts::value<double>()->default_value("234"));
  add("tokens", "Per answer", cxxopts::value<unsigned>()->default_value("376"));
  add("interval-us",
      "Between tokens",
      cxxopts::value<unsigned>()->default_value("10000"));
  add("threads", "Callers", cxxopts::value<unsigned>()->default_value("2"));
  add("seconds", "Length", cxxopts::value<unsigned>()->default_value("10"));
  add("help", "Print this help");
  const auto read = options.parse(aCount, aArguments);
  if (read.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  BenchOptions bench;
  bench.direct_ = ParseAddress(read["direct"].as<std::string>());
  if (read.count("via") != 0) {
    bench.via_ = ParseAddress(read["via"].as<std::string>());
  }
  if (read.count("source") != 0) {
    bench.source_ = ParseAddress(read["source"].as<std::string>());
  }
  bench.model_ = read["model"].as<std::string>();
  bench.token_ = read["token"].as<std::string>();
  bench.rate_ = read["rate"].as<double>();
  bench.tokens_ = read["tokens"].as<unsigned>();
  bench.interval_ = Duration(read["interval-us"].as<unsigned>());
  bench.threads_ = std::max(1U, read["threads"].as<unsigned>());
  bench.length_ = std::chrono::seconds(read["seconds"].as<unsigned>());
  if (bench.rate_ <= 0) {
    throw UserError("options", "", "--rate must be above 0.");
  }
  return aIsSource ? RunSource(bench) : RunBench(bench);
}

int
Mix(int aCount, char** aArguments, bool aChecksText)
{
  cxxopts::Options options("sycamoreward-load mix",
                           "Open-loop load of several classes.");
  auto add = options.add_options();
  const auto text = [](const char* aDefault) {
    return cxxopts::value<std::string>()->default_value(aDefault);
  };
  const auto number = [](const char* aDefault) {
    return cxxopts::value<double>()->default_value(aDefault);
  };
  add("address",
      "Entry instances, IP:PORT,...",
      cxxopts::value<std::vector<std::string>>());
  add("token",
      "Tokens, one a workspace",
      cxxopts::value<std::vector<std::string>>());
  add("reviews", "Long reviews a second", number("1"));
  add("queries", "Short queries a second", number("10"));
  add("records", "Unrepeatable records a second", number("1"));
  add("lookups", "Look-ups a second", number("5"));
  add("review-service", "Service of reviews", text("review"));
  add("query-service", "Service of queries", text("query"));
  add("plain-service", "Service of records and look-ups", text("desk"));
  add("record-path", "Path of records", text("/records"));
  add("lookup-path", "Path of look-ups", text("/lookups"));
  add("review-tokens", "Median length", number("400"));
  add("query-tokens", "Median length", number("24"));
  add("seed", "Seed", cxxopts::value<unsigned>()->default_value("1"));
  add("seconds", "Length", cxxopts::value<unsigned>()->default_value("10"));
  add("json", "Print JSON");
  add("help", "Print this help");
  const auto read = options.parse(aCount, aArguments);
  if (read.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  if (read.count("address") == 0 || read.count("token") == 0) {
    throw UserError("options", "", "--address and --token are needed.");
  }
  MixOptions mix;
  for (const auto& one : read["address"].as<std::vector<std::string>>()) {
    mix.addresses_.push_back(ParseAddress(one));
  }
  mix.tokens_ = read["token"].as<std::vector<std::string>>();
  mix.reviewRate_ = read["reviews"].as<double>();
  mix.queryRate_ = read["queries"].as<double>();
  mix.recordRate_ = read["records"].as<double>();
  mix.lookupRate_ = read["lookups"].as<double>();
  mix.reviewService_ = read["review-service"].as<std::string>();
  mix.queryService_ = read["query-service"].as<std::string>();
  mix.plainService_ = read["plain-service"].as<std::string>();
  mix.recordPath_ = read["record-path"].as<std::string>();
  mix.lookupPath_ = read["lookup-path"].as<std::string>();
  mix.reviewTokens_ = std::uint64_t(read["review-tokens"].as<double>());
  mix.queryTokens_ = std::uint64_t(read["query-tokens"].as<double>());
  mix.seed_ = read["seed"].as<unsigned>();
  mix.length_ = std::chrono::seconds(read["seconds"].as<unsigned>());
  mix.isJson_ = read.count("json") != 0;
  mix.checksText_ = aChecksText;
  return RunMix(mix);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::string command = aCount > 1 ? aArguments[1] : "";
  try {
    if (command == "bench" || command == "source") {
      return Bench(aCount - 1, aArguments + 1, command == "source");
    }
    if (command == "mix" || command == "check") {
      return Mix(aCount - 1, aArguments + 1, command == "check");
    }
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
  std::cerr << kUsage;
  return 2;
}
