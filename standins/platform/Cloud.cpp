// Instances, starts and reclaim notices of the platform stand-in.

#include "platform/PlatformStandIn.h"

#include "runtime/EventLoop.h"

#include <ctime>

namespace sycamoreward::platform {

namespace {

using Json = nlohmann::json;

void
ReplyJson(const std::shared_ptr<HttpExchange>& aExchange,
          int aStatus,
          const Json& aBody)
{
  aExchange->Reply(
    aStatus, { { "Content-Type", "application/json" } }, aBody.dump());
}

// The part of aPath between aBefore and the next slash.
std::string
IdIn(const std::string& aPath, const std::string& aBefore)
{
  const std::string rest = aPath.substr(aBefore.size());
  return rest.substr(0, rest.find('/'));
}

std::string
FormatTime(WallTime aTime)
{
  const std::time_t seconds =
    std::chrono::duration_cast<std::chrono::seconds>(aTime.time_since_epoch())
      .count();
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  const std::size_t size =
    std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return std::string(text, size);
}

} // namespace

void
PlatformStandIn::ServeInstances(const Exchange& aExchange)
{
  const HttpServerRequest& request = aExchange->Request();
  const MonotonicTime now = loop_.GetClock().Now();
  if (request.method_ == HttpMethod::Get) {
    const auto since = request.query_.find("since");
    const std::uint64_t version =
      since == request.query_.end() ? 0 : std::stoull(since->second);
    ReplyJson(aExchange, 200, instances_.Read(version, options_.listLag_, now));
    return;
  }
  const std::string id = IdIn(request.path_ + "/", "/v1/instances/");
  if (request.method_ == HttpMethod::Put) {
    Json instance = Json::parse(request.body_);
    instance["id"] = id;
    instances_.Put(instance, now);
    ReplyJson(aExchange, 200, instance);
    return;
  }
  const bool isFound = instances_.Remove(id, now);
  ReplyJson(aExchange, isFound ? 200 : 404, Json::object());
}

void
PlatformStandIn::ServeStart(const Exchange& aExchange)
{
  if (faults_.refuseStarts_) {
    ReplyJson(
      aExchange, 503, { { "error", "There is no capacity of this class." } });
    return;
  }
  Json instance = Json::parse(aExchange->Request().body_);
  instance["id"] = "started-" + std::to_string(nextStart_++);
  instance["state"] = instance.value("state", "live");
  instances_.Put(instance, loop_.GetClock().Now());
  ReplyJson(aExchange, 201, instance);
}

void
PlatformStandIn::ServeNotice(const Exchange& aExchange)
{
  const HttpServerRequest& request = aExchange->Request();
  if (request.method_ == HttpMethod::Post) {
    const unsigned seconds =
      Json::parse(request.body_).at("seconds").get<unsigned>();
    notices_[IdIn(request.path_, "/v1/instances/")] =
      FormatTime(loop_.GetClock().Wall() + std::chrono::seconds(seconds));
    ReplyJson(aExchange, 200, Json::object());
    return;
  }
  const std::string id = IdIn(request.path_, "/instances/");
  const auto found = notices_.find(id);
  if (found == notices_.end() ||
      request.path_ !=
        "/instances/" + id + "/latest/meta-data/spot/instance-action") {
    ReplyJson(aExchange, 404, { { "error", "There is no notice." } });
    return;
  }
  ReplyJson(
    aExchange, 200, { { "action", "terminate" }, { "time", found->second } });
}

} // namespace sycamoreward::platform
