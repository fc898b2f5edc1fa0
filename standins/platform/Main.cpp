// Program standin-platform: the platform stand-in as a process of its own.

#include "base/Clock.h"
#include "base/Error.h"
#include "platform/PlatformStandIn.h"
#include "runtime/EventLoop.h"

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>

int
main(int aCount, char** aArguments)
{
  using namespace sycamoreward;
  try {
    cxxopts::Options options("standin-platform", "Stand-in of the platform");
    options.add_options()("listen",
                          "Address to listen on, IP:PORT",
                          cxxopts::value<std::string>()->default_value(
                            "127.0.0.1:0"))("help", "Print this text");
    const auto parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") != 0) {
      std::cout << options.help();
      return 0;
    }
    SystemClock clock;
    EventLoop loop(clock);
    loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
    platform::PlatformStandIn standIn(
      loop, {}, ParseAddress(parsed["listen"].as<std::string>()));
    std::cout << nlohmann::json(
                   { { "address", ToString(standIn.BoundAddress()) } })
                   .dump()
              << std::endl;
    loop.Run();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "standin-platform: " << error.what() << '\n';
    return 1;
  }
}
