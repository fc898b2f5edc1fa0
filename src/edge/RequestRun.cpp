#include "edge/RequestRun.h"

#include "base/DurationUnits.h"
#include "base/Error.h"
#include "edge/RequestStatus.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// Maximum idle time of a reused connection. Requests that must run at most once
// use only recently used connections: if the server closes an idle connection
// while a request is being sent, it is unknown whether the request ran.
constexpr Duration kMaxIdleOnce = std::chrono::milliseconds(8000);
constexpr Duration kMaxIdleRepeatable = std::chrono::seconds(30);
// Holder of the requests on public routes, in the account of what workspaces
// hold. No workspace has this name.
constexpr const char* kPublicHolder = "public routes";
// Attempts that servers may refuse, beyond the route's maximum number of runs,
// before the caller is refused.
constexpr std::uint32_t kMaxRefusedAttempts = 3;

} // namespace

RequestRun::RequestRun(EdgeState& aState,
                       std::shared_ptr<http::CallerExchange> aExchange)
  : state_(aState)
  , exchange_(std::move(aExchange))
{
}

Duration
RequestRun::Elapsed() const
{
  return state_.loop_.GetClock().Now() - exchange_->received_;
}

Duration
RequestRun::Remaining() const
{
  return deadline_ - state_.loop_.GetClock().Now();
}

void
RequestRun::Start()
{
  state_.requests_.insert(this);
  const auto self = shared_from_this();
  http::CallerExchange::Callbacks callbacks;
  callbacks.onGone_ = [self] { self->OnCallerDisconnected(); };
  callbacks.onFlushed_ = [self] {
    if (self->channel_ != nullptr) {
      self->channel_->ResumeReading();
    }
  };
  exchange_->SetCallbacks(std::move(callbacks));
  if (Accept() && !RefuseIfTooLate() && !RefuseIfBlocked()) {
    CheckQuota();
  }
}

bool
RequestRun::Accept()
{
  try {
    request_ = state_.codec_.decodeRequest_(exchange_->head_);
  } catch (const UserError& error) {
    Fail(kBadRequest, "bad_request");
    return false;
  }
  routes_ = state_.routes_;
  if (routes_ == nullptr) {
    Refuse(kUnavailable, "no_deployment", kStartingRetryAfter);
    return false;
  }
  route_ = routes_->FindRoute(request_.host_, exchange_->head_.target_);
  if (route_ == nullptr || route_->services_.empty()) {
    Fail(kNotFound, "no_route");
    return false;
  }
  if (routes_->HasWorkspaces() && !route_->isPublic_) {
    workspace_ = routes_->FindWorkspace(request_.key_);
    if (workspace_ == nullptr) {
      Fail(kUnauthorized, "unknown_key");
      return false;
    }
  }
  const WorkspaceId holder =
    workspace_ == nullptr ? WorkspaceId(kPublicHolder) : workspace_->id_;
  if (!exchange_->MayRunFor(holder)) {
    // Spread, so that refused callers do not return together.
    constexpr double kMinRetrySeconds = 0.5;
    Refuse(kUnavailable,
           "workspace_memory",
           FromSeconds(kMinRetrySeconds + state_.Draw()));
    return false;
  }
  fingerprints_ = PromptFingerprints(request_.parts_);
  fingerprints_.push_back(
    RequestFingerprint(exchange_->head_,
                       exchange_->body_,
                       request_.host_,
                       workspace_ == nullptr ? "" : workspace_->id_.Value()));
  service_ = PickService(*route_, state_.Draw());
  const Duration timeout =
    std::min(request_.timeout_.value_or(route_->timeout_), route_->timeout_);
  deadline_ = exchange_->received_ + timeout;
  deadlineTimer_ =
    state_.loop_.CallAfter(Remaining(), [self = shared_from_this()] {
      self->deadlineTimer_ = 0;
      self->OnDeadline();
    });
  return true;
}

http::RequestHead
RequestRun::MakeServerRequestHead() const
{
  http::RequestHead head = exchange_->head_;
  http::RemoveConnectionFields(head);
  head.Remove("content-length");
  head.Remove("expect");
  ServerRequest fields;
  fields.timeout_ = Remaining();
  fields.expected_ = placement_.server_;
  if (workspace_ != nullptr) {
    fields.workspace_ = workspace_->id_;
  }
  if (route_->hasPrompt_) {
    fields.priority_ =
      workspace_ != nullptr && workspace_->priority_.has_value()
        ? *workspace_->priority_
        : route_->priority_;
  }
  if (answerState_ == AnswerState::Forwarded && !events_.LastId().empty()) {
    fields.lastEvent_ = events_.LastId();
  }
  state_.codec_.encodeRequest_(head, fields);
  if (!exchange_->body_.empty() ||
      exchange_->head_.Count("content-length") > 0 ||
      exchange_->head_.Count("transfer-encoding") > 0) {
    head.fields_.push_back(
      { "Content-Length", std::to_string(exchange_->body_.size()) });
  }
  return head;
}

BackendView*
RequestRun::FindAttemptServer()
{
  return FindServer(state_, service_, placement_.server_, serverIncarnation_);
}

void
RequestRun::SendAttempt(const char* aCause)
{
  PoolView& pool = state_.pools_[service_];
  BackendView& view = pool.servers_[placement_.server_];
  serverIncarnation_ = view.server_.incarnation_;
  work_ = state_.nextWork_++;
  sent_ = state_.loop_.GetClock().Now();
  isTrackedByPlacer_ = placedWork_.has_value();
  isFirstEventReported_ = false;
  if (!isTrackedByPlacer_) {
    std::optional<UnreadPrompt> prompt;
    if (pool.isEngine_) {
      prompt = { placement_.tokens_,
                 placement_.readStart_,
                 placement_.readEnd_ };
    }
    RecordSent(view, work_, prompt, request_.parts_);
    CountSent(view.limit_, sent_);
    if (pool.isEngine_ && state_.onPromptSent_) {
      state_.onPromptSent_(placement_.tokens_);
    }
  }
  state_.crashes_.AddRun(view.server_, work_, fingerprints_);
  tried_.insert(placement_.server_);
  ++attempts_;
  ++possibleRuns_;
  isNotRun_ = false;
  answerHead_ = {};
  state_.metrics_.CountAttempt(service_, aCause);
  const bool isRepeatable =
    route_->kind_ == RouteKind::Idempotent || route_->isResumable_;
  const auto lease =
    state_.channels_.Acquire(placement_.server_,
                             view.server_.address_,
                             isRepeatable ? kMaxIdleRepeatable : kMaxIdleOnce,
                             request_.id_);
  channel_ = lease.channel_;
  isReused_ = lease.isReused_;
  const auto self = shared_from_this();
  http::BackendChannel::Callbacks callbacks;
  callbacks.matchesRequest_ = [self](const http::ResponseHead& aHead) {
    return self->IsAnswerToRequest(aHead);
  };
  callbacks.onHead_ = [self](http::ResponseHead aHead,
                             const http::Framing& aFraming) {
    self->OnHead(std::move(aHead), aFraming);
  };
  callbacks.onBody_ = [self](std::string_view aBytes) { self->OnBody(aBytes); };
  callbacks.onEnd_ = [self] { self->OnEnd(); };
  callbacks.onFailed_ = [self](http::ChannelFailure aFailure) {
    self->OnFailed(aFailure);
  };
  channel_->Send(exchange_->head_.method_,
                 http::Serialize(MakeServerRequestHead()),
                 exchange_->body_,
                 std::move(callbacks),
                 exchange_);
  // Connecting across failure domains takes a few milliseconds. A server that
  // does not accept a connection within this time is down or unreachable.
  constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
  if (!isReused_) {
    connectTimer_ = state_.loop_.CallAfter(kConnectTimeout, [self] {
      self->connectTimer_ = 0;
      self->OnConnectTimeout();
    });
  }
  // The timeout is several times the expected wait, because engines read longer
  // prompts first and can be slow at times.
  constexpr double kFirstByteTimeoutFactor = 3;
  constexpr double kFirstByteTimeoutBaseMs = 500;
  const double firstByteTimeoutMs =
    placement_.waitMs_ * kFirstByteTimeoutFactor + kFirstByteTimeoutBaseMs;
  firstByteTimer_ =
    state_.loop_.CallAfter(FromMilliseconds(firstByteTimeoutMs), [self] {
      self->firstByteTimer_ = 0;
      self->OnFirstByteTimeout();
    });
}

void
RequestRun::CancelAttemptTimers()
{
  state_.loop_.CancelTimer(connectTimer_);
  state_.loop_.CancelTimer(firstByteTimer_);
  connectTimer_ = 0;
  firstByteTimer_ = 0;
}

void
RequestRun::ReleaseServer(bool aKeep)
{
  CancelAttemptTimers();
  if (channel_ == nullptr) {
    return;
  }
  const auto channel = std::move(channel_);
  channel_.reset();
  state_.crashes_.RemoveRun(work_, false);
  const bool isKept =
    aKeep &&
    !IsLeaving(state_.leaving_, placement_.server_, serverIncarnation_);
  if (isKept) {
    state_.channels_.Return(placement_.server_, channel, request_.id_);
  } else {
    channel->Cut();
  }
  NotifyPlacer(PlacementEvent::Ended);
  BackendView* view = FindAttemptServer();
  if (view != nullptr && !isTrackedByPlacer_) {
    RecordReleased(*view, work_);
  }
}

bool
RequestRun::IsRepeatable() const
{
  return route_->kind_ == RouteKind::Idempotent || route_->isResumable_;
}

bool
RequestRun::MayCrashServers() const
{
  const auto own =
    std::count_if(lost_.begin(), lost_.end(), [this](const auto& aServer) {
      return state_.crashes_.MayHaveCrashed(aServer.first, aServer.second);
    });
  if (own == 0) {
    return false;
  }
  const CrashRecord& record = state_.crashes_.record_;
  return std::size_t(own) >= kCrashesUntilNoRetry ||
         std::any_of(fingerprints_.begin(),
                     fingerprints_.end(),
                     [&](Fingerprint aFingerprint) {
                       return CountCrashes(record, aFingerprint) >=
                              kCrashesUntilNoRetry;
                     });
}

bool
RequestRun::CanRetry() const
{
  const std::uint32_t maxRuns =
    std::max<std::uint32_t>(route_->maxAttempts_, 1);
  const bool isAllowed =
    possibleRuns_ == 0 || (IsRepeatable() && possibleRuns_ < maxRuns);
  const auto budget = state_.budgets_.find(service_);
  return isAllowed && !MayCrashServers() &&
         attempts_ < kMaxRefusedAttempts + maxRuns &&
         Remaining() > Duration(0) && budget != state_.budgets_.end() &&
         HasRetry(budget->second);
}

void
RequestRun::Retry(const char* aCause)
{
  TakeRetry(state_.budgets_[service_]);
  StartPlacement(aCause);
}

} // namespace sycamoreward::edge
