#include "requests/Follower.h"

#include "recovery/AnswerAssembler.h"

#include <algorithm>

namespace sycamoreward {

namespace {

// Interval at which the owner repeats the head of an answer, so that a follower
// can distinguish an idle owner from a dead connection.
constexpr Duration kHeartbeatInterval = std::chrono::seconds(1);
constexpr Duration kFollowTimeout = std::chrono::seconds(5);
// All parts of an answer come from one log, so a single attempt number is used.
const AttemptNumber kFollowAttempt(1);
const char* const kMoved = "moved";

CallerError
MakeFollowError(const InstanceId& aOwner, const std::string& aReason)
{
  CallerError error;
  error.status_ = 503;
  error.code_ = "owner_unreachable";
  error.step_ = "follow";
  error.peer_ = aOwner.Value();
  error.ran_ = Ran::Unknown;
  error.message_ =
    "The answer can't be read from the instance that runs it: " + aReason + ".";
  return error;
}

// Streams one answer log to one peer.
class AnswerSender : public std::enable_shared_from_this<AnswerSender>
{
public:
  AnswerSender(EventLoop& aLoop,
               std::shared_ptr<AnswerLog> aLog,
               PartIndex aFrom,
               PeerNetwork::Responder aRespond)
    : loop_(aLoop)
    , log_(std::move(aLog))
    , next_(aFrom.Value())
    , respond_(std::move(aRespond))
  {
  }

  void Begin()
  {
    observer_ =
      log_->AddObserver([self = shared_from_this()] { self->Continue(); });
    SendHead();
    Continue();
  }

private:
  void SendHead()
  {
    AnswerPart part = MakePart(AnswerPartKind::Head, 0);
    part.status_ = log_->Status();
    part.contentType_ = log_->ContentType();
    respond_(part);
    timer_ = loop_.CallAfter(kHeartbeatInterval, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->SendHead();
      }
    });
  }

  void Continue()
  {
    const AnswerLog::State state = log_->GetState();
    const bool isEnded = state != AnswerLog::State::Open;
    if (isEnded) {
      // The head may have changed since it was first sent.
      loop_.CancelTimer(timer_);
      SendHead();
      loop_.CancelTimer(timer_);
    }
    for (; next_ < log_->Parts().size(); ++next_) {
      AnswerPart part = MakePart(AnswerPartKind::Data, next_);
      part.data_ = log_->Parts()[next_];
      respond_(part);
    }
    if (isEnded) {
      SendEnd(state);
      log_->RemoveObserver(observer_);
    }
  }

  void SendEnd(AnswerLog::State aState)
  {
    const bool isComplete = aState == AnswerLog::State::Complete;
    AnswerPart part = MakePart(
      isComplete ? AnswerPartKind::End : AnswerPartKind::Broken, next_);
    if (isComplete) {
      part.data_ = log_->FinishReason();
    } else if (aState == AnswerLog::State::Moved) {
      part.data_ = kMoved;
    } else {
      part.data_ = WriteCallerError(log_->Error());
    }
    respond_(part);
  }

  AnswerPart MakePart(AnswerPartKind aKind, std::size_t aIndex) const
  {
    AnswerPart part;
    part.request_ = log_->Request();
    part.attempt_ = kFollowAttempt;
    part.index_ = PartIndex(aIndex);
    part.kind_ = aKind;
    return part;
  }

  EventLoop& loop_;
  std::shared_ptr<AnswerLog> log_;
  std::size_t next_;
  PeerNetwork::Responder respond_;
  AnswerLog::ObserverId observer_ = 0;
  EventLoop::TimerId timer_ = 0;
};

// The receiving side: writes parts from the owner to the local log.
struct FollowedAnswer
{
  std::shared_ptr<AnswerLog> log_;
  InstanceId owner_;
  AnswerAssembler assembler_;
  std::function<void()> stop_;

  void HandleReply(const PeerReply& aReply)
  {
    if (log_->GetState() != AnswerLog::State::Open) {
      return;
    }
    const AnswerPart* part =
      aReply.message_ ? std::get_if<AnswerPart>(&*aReply.message_) : nullptr;
    if (part == nullptr) {
      log_->Fail(MakeFollowError(owner_, aReply.error_));
    } else if (part->request_ == log_->Request()) {
      HandlePart(*part);
    }
  }

  void HandlePart(const AnswerPart& aPart)
  {
    switch (aPart.kind_) {
      case AnswerPartKind::Head:
        log_->SetHead(aPart.status_, aPart.contentType_);
        return;
      case AnswerPartKind::Data:
        HandleData(aPart);
        return;
      case AnswerPartKind::End:
        if (assembler_.End(aPart.attempt_, aPart.index_) ==
            PartVerdict::Accepted) {
          log_->End(aPart.data_);
        } else {
          log_->Fail(
            MakeFollowError(owner_, "a part of the answer is missing"));
        }
        return;
      case AnswerPartKind::Broken:
        if (aPart.data_ == kMoved) {
          log_->MarkMoved();
        } else {
          log_->Fail(ReadCallerError(aPart.data_));
        }
        return;
    }
  }

  void HandleData(const AnswerPart& aPart)
  {
    const PartVerdict verdict =
      assembler_.Accept(aPart.attempt_, aPart.index_, aPart.data_);
    if (verdict == PartVerdict::Accepted) {
      log_->Append(aPart.data_);
      log_->Notify();
    } else if (verdict == PartVerdict::Gap) {
      log_->Fail(MakeFollowError(owner_, "a part of the answer is missing"));
    }
  }
};

const PeerIdentity*
FindPeer(const MemberList& aMembers, const InstanceId& aInstance)
{
  for (const Member& member : aMembers.members_) {
    if (member.identity_.instance_ == aInstance &&
        member.state_ != MemberState::Dead) {
      return &member.identity_;
    }
  }
  return nullptr;
}

} // namespace

Follower::Follower(RequestContext& aContext, Finder aFinder)
  : context_(aContext)
{
  context_.peers_.OnMessage<Follow>(
    [&loop = context_.loop_,
     finder = std::move(aFinder)](const PeerIdentity&,
                                  const Message& aMessage,
                                  const PeerNetwork::Responder& aRespond) {
      const auto& follow = std::get<Follow>(aMessage);
      const auto log = finder(follow.request_);
      if (log != nullptr) {
        std::make_shared<AnswerSender>(loop, log, follow.from_, aRespond)
          ->Begin();
        return;
      }
      AnswerPart part;
      part.request_ = follow.request_;
      part.attempt_ = kFollowAttempt;
      part.kind_ = AnswerPartKind::Broken;
      CallerError error =
        MakeFollowError(InstanceId(), "it no longer has the answer");
      part.data_ = WriteCallerError(error);
      aRespond(part);
    });
}

void
Follower::Join(const std::shared_ptr<AnswerLog>& aLog,
               const InstanceId& aOwner,
               const RequestId& aRequest)
{
  aLog->SetRequest(aRequest);
  const PeerIdentity* peer = FindPeer(context_.membership_.Members(), aOwner);
  if (peer == nullptr || aOwner == context_.membership_.Members().self_) {
    aLog->Fail(MakeFollowError(aOwner, "it is not a live instance"));
    return;
  }
  auto followed = std::make_shared<FollowedAnswer>();
  followed->log_ = aLog;
  followed->owner_ = aOwner;
  followed->assembler_.BeginAttempt(kFollowAttempt);
  Follow follow;
  follow.request_ = aRequest;
  followed->stop_ = context_.peers_.OpenStream(
    *peer, follow, kFollowTimeout, [followed](const PeerReply& aReply) {
      followed->HandleReply(aReply);
      if (followed->log_->GetState() != AnswerLog::State::Open &&
          followed->stop_) {
        const auto stop = std::move(followed->stop_);
        followed->stop_ = nullptr;
        stop();
      }
    });
  aLog->OnAbandoned([weak = std::weak_ptr<FollowedAnswer>(followed)] {
    const auto alive = weak.lock();
    if (alive != nullptr && alive->stop_) {
      const auto stop = std::move(alive->stop_);
      alive->stop_ = nullptr;
      stop();
    }
  });
}

} // namespace sycamoreward
