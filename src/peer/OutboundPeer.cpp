#include "peer/OutboundPeer.h"

#include "base/Error.h"
#include "telemetry/Log.h"

#include <utility>

namespace sycamoreward {

namespace {

// Maximum size of the messages queued for a connection; exceeding it closes
// the connection.
constexpr std::size_t kMaxQueuedBytes = 32 * 1024 * 1024;

bool
IsExpected(const PeerIdentity& aExpected, const PeerIdentity& aActual)
{
  return aExpected.instance_ == aActual.instance_ &&
         (aExpected.incarnation_.Value() == 0 ||
          aExpected.incarnation_ == aActual.incarnation_);
}

} // namespace

OutboundPeer::OutboundPeer(EventLoop& aLoop,
                           PeerIdentity aExpected,
                           std::shared_ptr<LinkTraffic> aTraffic,
                           Callbacks aCallbacks)
  : loop_(aLoop)
  , identity_(std::move(aExpected))
  , traffic_(std::move(aTraffic))
  , callbacks_(std::move(aCallbacks))
  , lastUsed_(aLoop.GetClock().Now())
{
}

OutboundPeer::~OutboundPeer()
{
  for (const auto& [callId, call] : calls_) {
    loop_.CancelTimer(call.timer_);
  }
  loop_.CancelTimer(helloTimer_);
  if (link_ != nullptr) {
    link_->Close();
  }
}

void
OutboundPeer::Start(const PeerIdentity& aSelf, Duration aTimeout)
{
  const std::weak_ptr<OutboundPeer> weak = shared_from_this();
  PeerLink::Callbacks callbacks;
  callbacks.onOpen_ = [weak, aSelf] {
    if (const auto self = weak.lock()) {
      self->OnOpen(aSelf);
    }
  };
  callbacks.onFrame_ = [weak](const std::string& aBytes) {
    if (const auto self = weak.lock()) {
      self->OnFrame(aBytes);
    }
  };
  callbacks.onClosed_ = [weak](const std::string& aReason) {
    if (const auto self = weak.lock()) {
      self->Close(aReason);
    }
  };
  link_ =
    ConnectLink(loop_, identity_.peerAddress_, traffic_, std::move(callbacks));
  helloTimer_ = loop_.CallAfter(aTimeout, [weak] {
    if (const auto self = weak.lock()) {
      self->Close("not connected");
    }
  });
}

void
OutboundPeer::Send(const Message& aMessage)
{
  Write(aMessage, 0);
}

void
OutboundPeer::Call(const Message& aMessage, Duration aTimeout, OnReply aOnReply)
{
  AddCall(aMessage, aTimeout, Duration(0), std::move(aOnReply));
}

std::uint64_t
OutboundPeer::OpenStream(const Message& aMessage,
                         Duration aReplyTimeout,
                         OnReply aOnReply)
{
  return AddCall(aMessage, aReplyTimeout, aReplyTimeout, std::move(aOnReply));
}

std::uint64_t
OutboundPeer::AddCall(const Message& aMessage,
                      Duration aTimeout,
                      Duration aReplyTimeout,
                      OnReply aOnReply)
{
  const std::uint64_t callId = nextCallId_++;
  if (isClosed_) {
    loop_.Post([onReply = std::move(aOnReply), reason = closeReason_] {
      onReply(PeerReply{ std::nullopt, reason });
    });
    return callId;
  }
  calls_[callId] = PendingCall{ std::move(aOnReply),
                                StartTimer(callId, aTimeout),
                                aReplyTimeout };
  try {
    Write(aMessage, callId);
  } catch (...) {
    EndStream(callId);
    throw;
  }
  return callId;
}

void
OutboundPeer::EndStream(std::uint64_t aCallId)
{
  const auto found = calls_.find(aCallId);
  if (found != calls_.end()) {
    loop_.CancelTimer(found->second.timer_);
    calls_.erase(found);
  }
}

void
OutboundPeer::SendHello(const PeerIdentity& aSelf)
{
  if (isEstablished_ && !isClosed_) {
    link_->SendFrame(EncodeMessage(Hello{ kProtocolVersion, aSelf }, 0));
  }
}

void
OutboundPeer::Write(const Message& aMessage, std::uint64_t aCallId)
{
  if (isClosed_) {
    return;
  }
  lastUsed_ = loop_.GetClock().Now();
  std::string bytes = EncodeMessage(aMessage, aCallId);
  if (isEstablished_) {
    link_->SendFrame(bytes);
    return;
  }
  queuedBytes_ += bytes.size();
  queued_.push_back(std::move(bytes));
  if (queuedBytes_ > kMaxQueuedBytes) {
    loop_.Post([self = shared_from_this()] { self->Close("queue full"); });
  }
}

void
OutboundPeer::OnOpen(const PeerIdentity& aSelf)
{
  link_->SendFrame(EncodeMessage(Hello{ kProtocolVersion, aSelf }, 0));
}

void
OutboundPeer::OnFrame(const std::string& aBytes)
{
  if (isClosed_) {
    return;
  }
  try {
    Frame frame = DecodeMessage(aBytes);
    if (!frame.message_.has_value()) {
      return;
    }
    if (const auto* hello = std::get_if<Hello>(&*frame.message_)) {
      OnHello(*hello);
    } else if (!isEstablished_) {
      Close("no Hello");
    } else {
      OnReplyFrame(frame.callId_, std::move(*frame.message_));
    }
  } catch (const UserError& error) {
    LogFor("peer")->warn("{} sent a malformed frame: {}",
                         ToString(identity_.peerAddress_),
                         error.what());
    Close("malformed frame");
  }
}

void
OutboundPeer::OnHello(const Hello& aHello)
{
  const PeerIdentity& actual = aHello.identity_;
  if (isEstablished_) {
    // The peer has refuted a suspicion by incrementing its incarnation.
    if (actual.instance_ == identity_.instance_ &&
        actual.incarnation_ > identity_.incarnation_) {
      identity_ = actual;
    }
    return;
  }
  if (!IsExpected(identity_, actual)) {
    const auto onMismatch = callbacks_.onMismatch_;
    Close("identity mismatch");
    if (onMismatch) {
      onMismatch(actual);
    }
    return;
  }
  identity_ = actual;
  isEstablished_ = true;
  loop_.CancelTimer(helloTimer_);
  for (const std::string& bytes : std::exchange(queued_, {})) {
    link_->SendFrame(bytes);
  }
}

void
OutboundPeer::OnReplyFrame(std::uint64_t aCallId, Message aMessage)
{
  const auto found = calls_.find(aCallId);
  if (found == calls_.end()) {
    return;
  }
  loop_.CancelTimer(found->second.timer_);
  PeerReply reply{ std::move(aMessage), "" };
  if (found->second.replyTimeout_ > Duration(0)) {
    found->second.timer_ = StartTimer(aCallId, found->second.replyTimeout_);
    // Copied because the callback may end the stream.
    const OnReply onReply = found->second.onReply_;
    onReply(std::move(reply));
    return;
  }
  const OnReply onReply = std::move(found->second.onReply_);
  calls_.erase(found);
  onReply(std::move(reply));
}

EventLoop::TimerId
OutboundPeer::StartTimer(std::uint64_t aCallId, Duration aTimeout)
{
  return loop_.CallAfter(aTimeout, [weak = weak_from_this(), aCallId] {
    if (const auto self = weak.lock()) {
      self->OnTimeout(aCallId);
    }
  });
}

void
OutboundPeer::OnTimeout(std::uint64_t aCallId)
{
  const auto found = calls_.find(aCallId);
  if (found == calls_.end()) {
    return;
  }
  const OnReply onReply = std::move(found->second.onReply_);
  calls_.erase(found);
  if (isEstablished_ && callbacks_.onCallTimeout_) {
    const auto onCallTimeout = callbacks_.onCallTimeout_;
    onCallTimeout();
  }
  onReply(PeerReply{ std::nullopt, "timeout" });
}

void
OutboundPeer::Close(const std::string& aReason)
{
  if (isClosed_) {
    return;
  }
  const auto keep = shared_from_this();
  isClosed_ = true;
  closeReason_ = aReason;
  loop_.CancelTimer(helloTimer_);
  if (link_ != nullptr) {
    link_->Close();
  }
  const Callbacks callbacks = std::exchange(callbacks_, {});
  if (callbacks.onClosed_) {
    callbacks.onClosed_();
  }
  for (auto& [callId, call] : std::exchange(calls_, {})) {
    loop_.CancelTimer(call.timer_);
    call.onReply_(PeerReply{ std::nullopt, aReason });
  }
}

} // namespace sycamoreward
