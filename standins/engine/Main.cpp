// Command line program standin-engine.

#include "base/Address.h"
#include "engine/EngineStandIn.h"

#include <csignal>
// <regex> of libstdc++ 12 causes false warnings in sanitizer builds.
#define CXXOPTS_NO_REGEX // NOLINT: name set by cxxopts
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <memory>
#include <vector>

using namespace sycamoreward;

namespace {

Duration
Microseconds(const cxxopts::ParseResult& aResult, const char* aName)
{
  return Duration(aResult[aName].as<std::int64_t>());
}

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("standin-engine", "A fake of a model engine.");
  using cxxopts::value;
  options.add_options()                                                       //
    ("listen", "IP:PORT", value<std::string>()->default_value("127.0.0.1:0")) //
    ("id", "Server id", value<std::string>()->default_value("engine"))        //
    ("pool", "Pool", value<std::string>()->default_value("engines"))          //
    ("model",
     "Model in service; empty accepts any",
     value<std::string>()->default_value(""))                              //
    ("slots", "Slots", value<unsigned>()->default_value("16"))             //
    ("max-waiting", "Queue bound", value<unsigned>()->default_value("64")) //
    ("step-us",
     "Base time of a step",
     value<std::int64_t>()->default_value("2000")) //
    ("step-request-us",
     "Time of a step for each request",
     value<std::int64_t>()->default_value("100")) //
    ("prefill-us",
     "Time for each prompt token",
     value<std::int64_t>()->default_value("20")) //
    ("cache-tokens",
     "Size of the prefix cache",
     value<std::uint64_t>()->default_value("65536")) //
    ("kv-bytes-per-second",
     "Rate of KV transfers",
     value<std::uint64_t>()->default_value("1000000000"))         //
    ("ignore-fencing", "Apply orders with an old fencing number") //
    ("count",
     "Engines in this process, each on a port of its own",
     value<unsigned>()->default_value("1")) //
    ("help", "Print this text");
  try {
    const auto result = options.parse(aCount, aArguments);
    if (result.count("help") != 0) {
      std::cout << options.help() << std::endl;
      return 0;
    }
    standin::EngineOptions engine;
    engine.id_ = result["id"].as<std::string>();
    engine.pool_ = result["pool"].as<std::string>();
    engine.model_ = result["model"].as<std::string>();
    engine.slots_ = result["slots"].as<unsigned>();
    engine.maxWaiting_ = result["max-waiting"].as<unsigned>();
    engine.stepBase_ = Microseconds(result, "step-us");
    engine.stepPerRequest_ = Microseconds(result, "step-request-us");
    engine.prefillPerToken_ = Microseconds(result, "prefill-us");
    engine.cacheTokens_ = result["cache-tokens"].as<std::uint64_t>();
    engine.kvBytesPerSecond_ =
      result["kv-bytes-per-second"].as<std::uint64_t>();
    engine.checksFencing_ = result.count("ignore-fencing") == 0;
    SystemClock clock;
    EventLoop loop(clock);
    const Address listen = ParseAddress(result["listen"].as<std::string>());
    std::vector<std::unique_ptr<standin::EngineStandIn>> standIns;
    nlohmann::json addresses = nlohmann::json::array();
    for (unsigned index = 0; index < result["count"].as<unsigned>(); ++index) {
      standIns.push_back(
        std::make_unique<standin::EngineStandIn>(loop, engine, listen));
      addresses.push_back(ToString(standIns.back()->BoundAddress()));
    }
    std::cout << nlohmann::json{ { "address", addresses.at(0) },
                                 { "addresses", addresses } }
              << std::endl;
    loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
    loop.Run();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "standin-engine: " << error.what() << std::endl;
    return 2;
  }
}
