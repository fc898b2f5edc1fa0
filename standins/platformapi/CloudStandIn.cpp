#include "platformapi/CloudStandIn.h"

#include "base/BoundedJson.h"
#include "platformapi/Query.h"
#include "runtime/EventLoop.h"

#include <nlohmann/json.hpp>

namespace sycamoreward::standin {

CloudStandIn::CloudStandIn(EventLoop& aLoop)
  : server_(std::make_unique<http::CallerServer>(
      aLoop,
      Address{ "127.0.0.1", 0 },
      [this](const std::shared_ptr<http::CallerExchange>& aExchange) {
        Handle(*aExchange);
      }))
{
}

void
CloudStandIn::Handle(http::CallerExchange& aExchange)
{
  const auto json = ParseBoundedJson(aExchange.body_);
  const std::string* epochText = aExchange.head_.Find("X-Fencing-Token");
  const std::string* holder = aExchange.head_.Find("X-Lease-Holder");
  if (epochText == nullptr || holder == nullptr || !json.is_object()) {
    violations_.emplace_back("a call has no holder, epoch or body");
    AnswerJson(aExchange, 400, "{}");
    return;
  }
  const std::uint64_t epoch = std::stoull(*epochText);
  const bool isUsage = aExchange.head_.target_ == "/usage";
  const std::string subject = isUsage
                                ? "usage"
                                : json.at("service").get<std::string>() + "/" +
                                    json.at("zone").get<std::string>();
  auto& highest = highest_[subject];
  if (epoch < highest) {
    AnswerJson(aExchange, 409, "{}");
    return;
  }
  highest = epoch;
  const auto [known, isNew] =
    holders_.emplace(std::make_pair(subject, epoch), *holder);
  if (!isNew && known->second != *holder) {
    violations_.push_back("two holders used epoch " + *epochText);
  }
  if (isUsage) {
    const auto window = json.at("window").get<std::uint64_t>();
    const auto counts =
      json.at("counts").get<std::map<std::string, std::uint64_t>>();
    const auto [report, isFirst] = usage_.emplace(window, counts);
    if (!isFirst && report->second != counts) {
      violations_.push_back("two reports differ for window " +
                            std::to_string(window));
    }
  }
  accepted_.push_back({ subject, *holder, epoch, aExchange.body_ });
  AnswerJson(aExchange, 200, "{}");
}

} // namespace sycamoreward::standin
