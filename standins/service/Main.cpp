// Command line program standin-service.

#include "base/Address.h"
#include "service/ServiceStandIn.h"

#include <csignal>
// <regex> of libstdc++ 12 causes false warnings in sanitizer builds.
#define CXXOPTS_NO_REGEX // NOLINT: name set by cxxopts
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

using namespace sycamoreward;

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("standin-service", "A fake of a plain service.");
  using cxxopts::value;
  options.add_options()                                                       //
    ("listen", "IP:PORT", value<std::string>()->default_value("127.0.0.1:0")) //
    ("id", "Server id", value<std::string>()->default_value("service"))       //
    ("pool", "Pool", value<std::string>()->default_value("services"))         //
    ("slots", "Slots", value<unsigned>()->default_value("16"))                //
    ("work-us",
     "Time to handle a request",
     value<std::int64_t>()->default_value("2000")) //
    ("help", "Print this text");
  try {
    const auto result = options.parse(aCount, aArguments);
    if (result.count("help") != 0) {
      std::cout << options.help() << std::endl;
      return 0;
    }
    standin::ServiceOptions service;
    service.id_ = result["id"].as<std::string>();
    service.pool_ = result["pool"].as<std::string>();
    service.slots_ = result["slots"].as<unsigned>();
    service.workTime_ = Duration(result["work-us"].as<std::int64_t>());
    SystemClock clock;
    EventLoop loop(clock);
    standin::ServiceStandIn standIn(
      loop, service, ParseAddress(result["listen"].as<std::string>()));
    std::cout << nlohmann::json{ { "address",
                                   ToString(standIn.BoundAddress()) } }
              << std::endl;
    loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
    loop.Run();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "standin-service: " << error.what() << std::endl;
    return 2;
  }
}
