#include "routing/LoadPoller.h"

#include "base/BoundedJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace sycamoreward {

namespace {

constexpr std::chrono::milliseconds kPollTimeout{ 900 };
constexpr std::size_t kMaxBody = 64 * 1024;

std::uint64_t
ReadCount(const nlohmann::json& aBody, const char* aField)
{
  const auto field = aBody.find(aField);
  return field != aBody.end() && field->is_number_unsigned()
           ? field->get<std::uint64_t>()
           : 0;
}

bool
ReadFlag(const nlohmann::json& aBody, const char* aField, bool aDefault)
{
  const auto field = aBody.find(aField);
  return field != aBody.end() && field->is_boolean() ? field->get<bool>()
                                                     : aDefault;
}

} // namespace

std::optional<ParsedLoad>
ParseLoad(const std::string& aBody)
{
  const auto body = ParseBoundedJson(aBody);
  if (!body.is_object()) {
    return std::nullopt;
  }
  // Larger ages are treated as one hour, so that the conversion can't overflow.
  constexpr std::uint64_t kMaxAgeMilliseconds = 3600 * 1000;
  ParsedLoad load;
  load.report_.running_ = unsigned(ReadCount(body, "running"));
  load.report_.waiting_ = unsigned(ReadCount(body, "waiting"));
  load.report_.kvUsed_ = Tokens(ReadCount(body, "kvUsed"));
  load.report_.kvCapacity_ = Tokens(ReadCount(body, "kvCapacity"));
  load.isLeaving_ = ReadFlag(body, "leaving", false);
  // A server accepts work only if the report says so; a missing field means no.
  load.report_.isAccepting_ =
    ReadFlag(body, "accepting", false) && !load.isLeaving_;
  load.report_.age_ = std::chrono::milliseconds(
    std::min(ReadCount(body, "ageMs"), kMaxAgeMilliseconds));
  return load;
}

LoadPoller::LoadPoller(EventLoop& aLoop, HttpClient& aClient, OnLoad aOnLoad)
  : loop_(aLoop)
  , client_(aClient)
  , onLoad_(std::move(aOnLoad))
{
  timer_ = loop_.CallAfter(kInterval, [this] { Tick(); });
}

LoadPoller::~LoadPoller()
{
  *alive_ = false;
  loop_.CancelTimer(timer_);
}

void
LoadPoller::SetServers(const std::vector<Server>& aServers)
{
  std::set<ServerId> known;
  for (const Server& server : servers_) {
    known.insert(server.id_);
  }
  servers_ = aServers;
  next_ = 0;
  for (const Server& server : servers_) {
    if (known.count(server.id_) == 0) {
      Poll(server);
    }
  }
}

void
LoadPoller::Tick()
{
  timer_ = loop_.CallAfter(kInterval, [this] { Tick(); });
  const std::size_t count = servers_.size();
  for (std::size_t at = 0; at < count; ++at) {
    Poll(servers_[(next_ + at) % count]);
  }
  next_ = count == 0 ? 0 : (next_ + kMaxPolls) % count;
}

void
LoadPoller::Poll(const Server& aServer)
{
  if (polls_.size() >= kMaxPolls || polls_.count(aServer.id_) != 0) {
    return;
  }
  HttpClientRequest request;
  request.address_ = aServer.address_;
  request.target_ = "/load";
  request.connectTimeout_ = kPollTimeout;
  request.silenceTimeout_ = kPollTimeout;
  struct Reply
  {
    int status_ = 0;
    std::string body_;
  };
  const auto reply = std::make_shared<Reply>();
  HttpCallbacks callbacks;
  callbacks.onHead_ = [reply](int aStatus, const HttpHeaders&) {
    reply->status_ = aStatus;
  };
  callbacks.onData_ = [reply](std::string_view aData) {
    reply->body_.append(
      aData.substr(0, kMaxBody - std::min(kMaxBody, reply->body_.size())));
  };
  const ServerId id = aServer.id_;
  const MonotonicTime sent = loop_.GetClock().Now();
  callbacks.onEnd_ = [this, reply, id, sent, alive = alive_](HttpEnd aEnd) {
    if (!*alive) {
      return;
    }
    polls_.erase(id);
    if (aEnd != HttpEnd::Complete || reply->status_ != 200) {
      return;
    }
    if (const auto load = ParseLoad(reply->body_)) {
      onLoad_(id, *load, sent);
    }
  };
  polls_[id] = client_.Start(request, std::move(callbacks));
}

} // namespace sycamoreward
