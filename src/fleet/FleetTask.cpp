#include "fleet/FleetTask.h"

#include "telemetry/Log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

constexpr Duration kTickInterval = std::chrono::milliseconds(200);
// Interval between checks of a server that runs the desired version.
constexpr Duration kCheckInterval = std::chrono::seconds(1);
constexpr Duration kMaxBackoff = std::chrono::seconds(60);

// Formats a number with a fixed width, because sort keys are ordered as text.
std::string
ZeroPadded(std::uint64_t aNumber)
{
  const std::string digits = std::to_string(aNumber);
  return std::string(20 - digits.size(), '0') + digits;
}

bool
HasDesiredVersion(const Json& aState, const ModelVersion& aDesired)
{
  return aState.value("model", Json()) == aDesired.model_ &&
         aState.value("version", Json()) == aDesired.version_;
}

FencingSupport
FencingSupportOf(const ModelVersion& aVersion)
{
  return aVersion.checksFencing_ ? FencingSupport::Checked
                                 : FencingSupport::Ignored;
}

} // namespace

const ModelVersion*
FindDesiredVersion(const Configuration& aConfiguration, const PoolName& aPool)
{
  const ModelVersion* desired = nullptr;
  for (const auto& [name, version] : aConfiguration.modelVersions_) {
    if (version.pool_ == aPool &&
        (desired == nullptr || version.metadata_.resourceVersion_ >
                                 desired->metadata_.resourceVersion_)) {
      desired = &version;
    }
  }
  return desired;
}

Duration
OrderBackoff(unsigned aFailures)
{
  Duration backoff = kCheckInterval;
  for (unsigned count = 1; count < aFailures && backoff < kMaxBackoff;
       ++count) {
    backoff *= 2;
  }
  return std::min(backoff, kMaxBackoff);
}

FleetTask::FleetTask(FleetServices aServices, OrderTerms aTerms)
  : services_(std::move(aServices))
  , terms_(aTerms)
{
  timer_ = services_.loop_.CallAfter(kTickInterval, [this] { Tick(); });
}

FleetTask::~FleetTask()
{
  services_.loop_.CancelTimer(timer_);
}

void
FleetTask::Tick()
{
  timer_ = services_.loop_.CallAfter(kTickInterval, [this] { Tick(); });
  const auto lease = services_.heldLease_();
  if (!lease) {
    return;
  }
  if (lease->epoch_ != epoch_) {
    epoch_ = lease->epoch_;
    orderNumber_ = 0;
  }
  const MonotonicTime now = services_.loop_.GetClock().Now();
  const auto configuration = services_.configuration_.Current();
  if (configuration->revision_ != revision_) {
    revision_ = configuration->revision_;
    for (auto& [server, record] : servers_) {
      record.nextCheck_ = record.failures_ == 0 ? now : record.nextCheck_;
    }
  }
  const std::vector<Server> listed = services_.servers_.Servers();
  for (auto it = servers_.begin(); it != servers_.end();) {
    const bool isListed =
      std::any_of(listed.begin(), listed.end(), [&](const Server& aServer) {
        return aServer.id_ == it->first;
      });
    it =
      isListed || it->second.isInFlight_ ? std::next(it) : servers_.erase(it);
  }
  std::vector<std::pair<MonotonicTime, const Server*>> due;
  for (const Server& server : listed) {
    const ServerRecord& record = servers_[server.id_];
    if (!record.isInFlight_ && record.nextCheck_ <= now &&
        server.state_ == ServerState::Live &&
        FindDesiredVersion(*configuration, server.pool_) != nullptr) {
      due.emplace_back(record.nextCheck_, &server);
    }
  }
  // Servers that have been due longest are checked first, to avoid starvation.
  std::sort(due.begin(), due.end());
  for (const auto& [time, server] : due) {
    if (inFlight_ >= kMaxInFlight) {
      break;
    }
    StartCheck(*server, *FindDesiredVersion(*configuration, server->pool_));
  }
}

void
FleetTask::StartCheck(const Server& aServer, const ModelVersion& aDesired)
{
  servers_[aServer.id_].isInFlight_ = true;
  ++inFlight_;
  HttpClientRequest request;
  request.address_ = aServer.address_;
  request.target_ = "/orders";
  Call(request,
       [this, server = aServer, desired = aDesired](
         const HttpClientReply& aReply) { OnState(server, desired, aReply); });
}

void
FleetTask::OnState(const Server& aServer,
                   const ModelVersion& aDesired,
                   const HttpClientReply& aReply)
{
  ServerRecord& record = servers_[aServer.id_];
  const Json state = Json::parse(aReply.body_, nullptr, false);
  if (aReply.end_ != HttpEnd::Complete || aReply.status_ != 200 ||
      !state.is_object()) {
    Finish(aServer.id_, kCheckInterval);
  } else if (HasDesiredVersion(state, aDesired)) {
    record.failures_ = 0;
    Finish(aServer.id_, kCheckInterval);
  } else {
    Claim(aServer, aDesired);
  }
}

bool
FleetTask::IsOrderAllowed(const ModelVersion& aDesired) const
{
  const auto lease = services_.heldLease_();
  return lease && lease->epoch_ == epoch_ &&
         CheckOrderPermission(lease,
                              FencingSupportOf(aDesired),
                              services_.loop_.GetClock().Now(),
                              terms_) == OrderPermission::Allowed;
}

void
FleetTask::Claim(const Server& aServer, const ModelVersion& aDesired)
{
  if (!IsOrderAllowed(aDesired)) {
    Finish(aServer.id_, kCheckInterval);
    return;
  }
  ++servers_[aServer.id_].failures_;
  RowWrite write;
  write.row_.key_ = { "orders/" + aServer.id_.Value(),
                      ZeroPadded(epoch_.Value()) + "." +
                        ZeroPadded(++orderNumber_) };
  write.row_.values_ = { { "action", ToString(OrderKind::LoadModel) },
                         { "model", aDesired.model_ },
                         { "version", aDesired.version_ } };
  write.condition_ = RowCondition::Absent;
  services_.table_.Write(
    { write },
    services_.makeToken_(),
    [this,
     server = aServer,
     desired = aDesired,
     epoch = epoch_,
     weak = std::weak_ptr<bool>(alive_)](WriteResult aResult) {
      if (weak.expired()) {
        return;
      }
      // A claim that was not confirmed as committed is abandoned; the next
      // attempt uses a new order number.
      if (aResult != WriteResult::Committed || epoch != epoch_ ||
          !IsOrderAllowed(desired)) {
        Finish(server.id_, OrderBackoff(servers_[server.id_].failures_));
        return;
      }
      SendOrder(server, desired, epoch);
    });
}

void
FleetTask::SendOrder(const Server& aServer,
                     const ModelVersion& aDesired,
                     FencingToken aEpoch)
{
  LogFor("fleet")->info(
    "Ordering server {} to load model {} version {} (epoch {}).",
    aServer.id_.Value(),
    aDesired.model_,
    aDesired.version_,
    aEpoch.Value());
  HttpClientRequest request;
  request.address_ = aServer.address_;
  request.method_ = HttpMethod::Post;
  request.target_ = "/orders";
  request.headers_ = { { "Content-Type", "application/json" } };
  request.body_ = Json{
    { "action", ToString(OrderKind::LoadModel) },
    { "model", aDesired.model_ },
    { "version", aDesired.version_ },
    { "weights", aDesired.weights_ },
    { "fencing", aEpoch.Value() }
  }.dump();
  request.mayReuseConnection_ = false;
  Call(request, [this, server = aServer](const HttpClientReply& aReply) {
    const bool isApplied =
      aReply.end_ == HttpEnd::Complete && aReply.status_ == 200;
    if (!isApplied) {
      LogFor("fleet")->warn(
        "Server {} did not confirm the order: {}, status {}.",
        server.id_.Value(),
        ToString(aReply.end_),
        aReply.status_);
    }
    // After a success the state is read back immediately to verify it.
    Finish(server.id_,
           isApplied ? Duration(0)
                     : OrderBackoff(servers_[server.id_].failures_));
  });
}

void
FleetTask::Finish(const ServerId& aServer, Duration aDelay)
{
  ServerRecord& record = servers_[aServer];
  record.isInFlight_ = false;
  record.nextCheck_ = services_.loop_.GetClock().Now() + aDelay;
  --inFlight_;
}

void
FleetTask::Call(const HttpClientRequest& aRequest,
                std::function<void(HttpClientReply)> aOnReply)
{
  struct State
  {
    std::shared_ptr<HttpCall> call_;
    EventLoop::TimerId timer_ = 0;
    bool isDone_ = false;
  };
  HttpClientRequest request = aRequest;
  request.connectTimeout_ = terms_.orderTimeout_;
  request.silenceTimeout_ = terms_.orderTimeout_;
  const auto state = std::make_shared<State>();
  const auto finish =
    [this,
     state,
     onReply = std::move(aOnReply),
     weak = std::weak_ptr<bool>(alive_)](const HttpClientReply& aReply) {
      if (weak.expired() || state->isDone_) {
        return;
      }
      state->isDone_ = true;
      state->call_.reset();
      services_.loop_.CancelTimer(state->timer_);
      onReply(aReply);
    };
  state->timer_ =
    services_.loop_.CallAfter(terms_.orderTimeout_, [state, finish] {
      if (state->call_ != nullptr) {
        state->call_->Cancel();
      }
      HttpClientReply timedOut;
      timedOut.end_ = HttpEnd::Silent;
      finish(timedOut);
    });
  state->call_ = services_.client_.Fetch(request, finish);
}

} // namespace sycamoreward
