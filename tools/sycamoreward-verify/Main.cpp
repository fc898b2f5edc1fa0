// sycamoreward-verify: sends requests to a running deployment and checks that
// none is lost, truncated or run twice.

#include "Verify.h"

#include "base/Error.h"
#include "sycamoreward/Version.h"

#include <cxxopts.hpp>

#include <iostream>

using namespace sycamoreward;

namespace {

std::vector<Address>
ReadAddresses(const cxxopts::ParseResult& aParsed, const char* aName)
{
  std::vector<Address> addresses;
  if (aParsed.count(aName) != 0) {
    for (const auto& text : aParsed[aName].as<std::vector<std::string>>()) {
      addresses.push_back(ParseAddress(text));
    }
  }
  return addresses;
}

std::optional<Violation>
ReadFalsify(const std::string& aName)
{
  if (aName.empty()) {
    return std::nullopt;
  }
  for (const auto violation :
       { Violation::Lost, Violation::Cut, Violation::Doubled }) {
    if (aName == ToString(violation)) {
      return violation;
    }
  }
  throw UserError("options",
                  "",
                  "--falsify takes lost, cut or doubled, not \"" + aName +
                    "\".");
}

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options(
    "sycamoreward-verify",
    "Sends requests to a running deployment and checks the answers. Exit "
    "codes: 0 all answered and no violation, 1 otherwise, 2 invalid "
    "arguments.");
  const auto addresses = [] {
    return cxxopts::value<std::vector<std::string>>();
  };
  const auto text = [](const char* aDefault) {
    return cxxopts::value<std::string>()->default_value(aDefault);
  };
  const auto number = [](const char* aDefault) {
    return cxxopts::value<unsigned>()->default_value(aDefault);
  };
  auto add = options.add_options();
  add("entry",
      "Caller addresses of the entry instances, IP:PORT,...",
      addresses());
  add("engine", "Engine stand-ins whose run counters are read", addresses());
  add("service", "Plain-service stand-ins", addresses());
  add("completion-token", "Token for completions", text(""));
  add("record-token", "Token for records", text(""));
  add("query-service",
      "Service that receives the queries",
      text("resistance-query"));
  add("review-service",
      "Service that receives the reviews",
      text("sheet-review"));
  add("record-service",
      "Service that receives the records",
      text("certificate-issue"));
  add("queries", "Number of queries", number("30"));
  add("reviews", "Number of reviews", number("9"));
  add("records", "Number of records", number("9"));
  add("review-tokens", "Length of a review, in tokens", number("300"));
  add("spread-ms",
      "Period over which the requests are started, in milliseconds",
      number("3000"));
  add("falsify",
      "Falsify the history before checking it: lost, cut or doubled",
      text(""));
  add("version", "Print the version");
  add("help", "Print this text");
  return options;
}

int
RunProgram(int aCount, char** aArguments)
{
  auto options = MakeOptions();
  const auto parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") != 0) {
    std::cout << options.help() << std::endl;
    return 0;
  }
  if (parsed.count("version") != 0) {
    std::cout << "sycamoreward-verify " << kVersion << std::endl;
    return 0;
  }
  VerifyOptions verify;
  verify.entries_ = ReadAddresses(parsed, "entry");
  if (verify.entries_.empty()) {
    throw UserError("options", "", "--entry IP:PORT is missing.");
  }
  verify.engines_ = ReadAddresses(parsed, "engine");
  verify.services_ = ReadAddresses(parsed, "service");
  verify.completionToken_ = parsed["completion-token"].as<std::string>();
  verify.recordToken_ = parsed["record-token"].as<std::string>();
  verify.queryService_ = parsed["query-service"].as<std::string>();
  verify.reviewService_ = parsed["review-service"].as<std::string>();
  verify.recordService_ = parsed["record-service"].as<std::string>();
  verify.queries_ = parsed["queries"].as<unsigned>();
  verify.reviews_ = parsed["reviews"].as<unsigned>();
  verify.records_ = parsed["records"].as<unsigned>();
  verify.reviewTokens_ = parsed["review-tokens"].as<unsigned>();
  verify.spread_ =
    std::chrono::milliseconds(parsed["spread-ms"].as<unsigned>());
  verify.falsify_ = ReadFalsify(parsed["falsify"].as<std::string>());
  return RunVerify(verify);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    return RunProgram(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << "sycamoreward-verify: " << error.what() << std::endl;
    return 2;
  }
}
