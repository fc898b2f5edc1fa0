// sycamoreward-load: puts load on entry instances and reports the latencies and
// outcomes that callers see.

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
RunBenchCommand(int aCount, char** aArguments, bool aIsSource)
{
  cxxopts::Options options(
    aIsSource ? "sycamoreward-load source" : "sycamoreward-load bench",
    aIsSource ? "Runs a stream source to measure against."
              : "Measures the latency that an instance adds.");
  auto add = options.add_options();
  add("via", "Entry instance, IP:PORT", cxxopts::value<std::string>());
  add("source", "Running source, IP:PORT", cxxopts::value<std::string>());
  add("direct",
      "Listen address of the source in this process, IP:PORT",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
  add(
    "model", "Service", cxxopts::value<std::string>()->default_value("bench"));
  add("token", "Token", cxxopts::value<std::string>()->default_value(""));
  add("rate", "Requests/s", cxxopts::value<double>()->default_value("234"));
  add("tokens",
      "Tokens of each answer",
      cxxopts::value<unsigned>()->default_value("376"));
  add("interval-us",
      "Interval between tokens, in microseconds",
      cxxopts::value<unsigned>()->default_value("10000"));
  add("threads", "Callers", cxxopts::value<unsigned>()->default_value("2"));
  add("seconds", "Length", cxxopts::value<unsigned>()->default_value("10"));
  add("help", "Print this help");
  const auto parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  BenchOptions bench;
  bench.sourceListen_ = ParseAddress(parsed["direct"].as<std::string>());
  if (parsed.count("via") != 0) {
    bench.via_ = ParseAddress(parsed["via"].as<std::string>());
  }
  if (parsed.count("source") != 0) {
    bench.source_ = ParseAddress(parsed["source"].as<std::string>());
  }
  bench.model_ = parsed["model"].as<std::string>();
  bench.token_ = parsed["token"].as<std::string>();
  bench.rate_ = parsed["rate"].as<double>();
  bench.tokens_ = parsed["tokens"].as<unsigned>();
  bench.interval_ = Duration(parsed["interval-us"].as<unsigned>());
  bench.threads_ = std::max(1U, parsed["threads"].as<unsigned>());
  bench.duration_ = std::chrono::seconds(parsed["seconds"].as<unsigned>());
  if (bench.rate_ <= 0) {
    throw UserError("options", "", "--rate must be above 0.");
  }
  return aIsSource ? RunSource(bench) : RunBench(bench);
}

int
RunMixCommand(int aCount, char** aArguments, bool aChecksText)
{
  cxxopts::Options options("sycamoreward-load mix",
                           "Open-loop load of several request classes.");
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
      "Tokens, one for each workspace",
      cxxopts::value<std::vector<std::string>>());
  add("reviews", "Long reviews per second", number("1"));
  add("queries", "Short queries per second", number("10"));
  add("records", "Unrepeatable records per second", number("1"));
  add("lookups", "Look-ups per second", number("5"));
  add("review-service", "Service that receives the reviews", text("review"));
  add("query-service", "Service that receives the queries", text("query"));
  add("plain-service",
      "Service that receives the records and look-ups",
      text("desk"));
  add("record-path", "Path of records", text("/records"));
  add("lookup-path", "Path of look-ups", text("/lookups"));
  add("review-tokens", "Median length of a review, in tokens", number("400"));
  add("query-tokens", "Median length of a query, in tokens", number("24"));
  add("seed", "Seed", cxxopts::value<unsigned>()->default_value("1"));
  add("seconds", "Length", cxxopts::value<unsigned>()->default_value("10"));
  add("json", "Print JSON");
  add("help", "Print this help");
  const auto parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  if (parsed.count("address") == 0 || parsed.count("token") == 0) {
    throw UserError("options", "", "--address and --token are required.");
  }
  MixOptions mix;
  for (const auto& item : parsed["address"].as<std::vector<std::string>>()) {
    mix.addresses_.push_back(ParseAddress(item));
  }
  mix.tokens_ = parsed["token"].as<std::vector<std::string>>();
  mix.reviewRate_ = parsed["reviews"].as<double>();
  mix.queryRate_ = parsed["queries"].as<double>();
  mix.recordRate_ = parsed["records"].as<double>();
  mix.lookupRate_ = parsed["lookups"].as<double>();
  mix.reviewService_ = parsed["review-service"].as<std::string>();
  mix.queryService_ = parsed["query-service"].as<std::string>();
  mix.plainService_ = parsed["plain-service"].as<std::string>();
  mix.recordPath_ = parsed["record-path"].as<std::string>();
  mix.lookupPath_ = parsed["lookup-path"].as<std::string>();
  mix.reviewTokens_ = std::uint64_t(parsed["review-tokens"].as<double>());
  mix.queryTokens_ = std::uint64_t(parsed["query-tokens"].as<double>());
  mix.seed_ = parsed["seed"].as<unsigned>();
  mix.duration_ = std::chrono::seconds(parsed["seconds"].as<unsigned>());
  mix.printsJson_ = parsed.count("json") != 0;
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
      return RunBenchCommand(aCount - 1, aArguments + 1, command == "source");
    }
    if (command == "mix" || command == "check") {
      return RunMixCommand(aCount - 1, aArguments + 1, command == "check");
    }
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
  std::cerr << kUsage;
  return 2;
}
