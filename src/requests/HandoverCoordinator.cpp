#include "requests/HandoverCoordinator.h"

#include "requests/CallerError.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <set>

namespace sycamoreward {

struct HandoverCoordinator::State
  : std::enable_shared_from_this<HandoverCoordinator::State>
{
  State(RequestContext& aContext, RequestTable& aTable)
    : context_(aContext)
    , table_(aTable)
  {
  }

  void PlanHandovers(MonotonicTime aDeadline);
  void HandOverRequest(const RequestId& aRequest, const InstanceId& aSuccessor);
  void Offer(const std::shared_ptr<RequestTask>& aTask,
             const HandOver& aMessage,
             std::vector<PeerIdentity> aSuccessors);
  HandOverReply HandleHandOver(const HandOver& aMessage);

  RequestContext& context_;
  RequestTable& table_;
  bool isAccepting_ = true;
  // Requests whose handover is planned or in progress.
  std::set<RequestId> planned_;
};

namespace {

// Interval for planning again the requests that were expected to end in time or
// that no successor accepted. A stream may slow down after its end was
// estimated.
constexpr Duration kPlanInterval = std::chrono::milliseconds(250);

constexpr Duration kReplyTimeout = std::chrono::milliseconds(400);
// Maximum number of successors that are offered one request.
constexpr std::size_t kMaxOffers = 3;
const char* const kNotConnected = "not connected";

} // namespace

HandoverCoordinator::HandoverCoordinator(RequestContext& aContext,
                                         RequestTable& aTable)
  : state_(std::make_shared<State>(aContext, aTable))
{
  aContext.peers_.OnMessage<HandOver>(
    [state = state_](const PeerIdentity&,
                     const Message& aMessage,
                     const PeerNetwork::Responder& aRespond) {
      aRespond(state->HandleHandOver(std::get<HandOver>(aMessage)));
    });
}

void
HandoverCoordinator::HandOverAll(MonotonicTime aDeadline)
{
  state_->isAccepting_ = false;
  state_->PlanHandovers(aDeadline);
}

void
HandoverCoordinator::StopAccepting()
{
  state_->isAccepting_ = false;
}

void
HandoverCoordinator::State::PlanHandovers(MonotonicTime aDeadline)
{
  HandoverInput input;
  input.members_ = context_.membership_.Members();
  input.remaining_ =
    std::max(Duration(0), aDeadline - context_.loop_.GetClock().Now());
  for (const auto& task : table_.Running()) {
    if (planned_.count(task->Request().id_) == 0) {
      input.requests_.push_back(task->Candidate());
    }
  }
  const HandoverPlan plan = PlanHandover(input);
  for (const HandoverStep& step : plan.steps_) {
    planned_.insert(step.request_);
    context_.loop_.CallAfter(step.delay_, [weak = weak_from_this(), step] {
      if (const auto self = weak.lock()) {
        self->HandOverRequest(step.request_, step.successor_);
      }
    });
  }
  if (!input.requests_.empty()) {
    LogFor("recovery")
      ->info(
        "Handing over {} requests; {} will end in time; {} can't be saved.",
        plan.steps_.size(),
        plan.finishing_.size(),
        plan.lost_.size());
  }
  if (input.remaining_ > kPlanInterval) {
    context_.loop_.CallAfter(kPlanInterval,
                             [weak = weak_from_this(), aDeadline] {
                               if (const auto self = weak.lock()) {
                                 self->PlanHandovers(aDeadline);
                               }
                             });
  }
}

void
HandoverCoordinator::State::HandOverRequest(const RequestId& aRequest,
                                            const InstanceId& aSuccessor)
{
  const auto task = table_.FindRunning(aRequest);
  if (task == nullptr) {
    return;
  }
  std::vector<PeerIdentity> successors =
    ChooseSuccessors(context_.membership_.Members());
  std::stable_partition(
    successors.begin(), successors.end(), [&](const PeerIdentity& aPeer) {
      return aPeer.instance_ == aSuccessor;
    });
  successors.resize(std::min(successors.size(), kMaxOffers));
  const HandOver message = task->Suspend();
  Offer(task, message, std::move(successors));
}

void
HandoverCoordinator::State::Offer(const std::shared_ptr<RequestTask>& aTask,
                                  const HandOver& aMessage,
                                  std::vector<PeerIdentity> aSuccessors)
{
  if (aSuccessors.empty()) {
    // Allows the next planning round to include the request again.
    planned_.erase(aTask->Request().id_);
    aTask->Resume();
    return;
  }
  const PeerIdentity successor = aSuccessors.front();
  aSuccessors.erase(aSuccessors.begin());
  context_.peers_.Call(
    successor,
    aMessage,
    kReplyTimeout,
    [self = shared_from_this(), aTask, aMessage, aSuccessors](
      const PeerReply& aReply) {
      const auto* reply = aReply.message_
                            ? std::get_if<HandOverReply>(&*aReply.message_)
                            : nullptr;
      if (reply != nullptr && reply->isAccepted_) {
        aTask->EndWithoutOutcome();
        return;
      }
      const bool isRefused = reply != nullptr || aReply.error_ == kNotConnected;
      if (!isRefused && !aTask->Request().isRepeatable_) {
        // The successor may have received the request, so continuing here could
        // run it twice. If the message was lost, the claim in the ledger
        // settles the request.
        aTask->EndWithoutOutcome();
        return;
      }
      self->Offer(aTask, aMessage, aSuccessors);
    });
}

HandOverReply
HandoverCoordinator::State::HandleHandOver(const HandOver& aMessage)
{
  HandOverReply reply;
  if (!isAccepting_) {
    reply.reason_ = "This instance is leaving.";
    return reply;
  }
  if (table_.IsFull()) {
    reply.reason_ = "This instance runs as many requests as it can.";
    return reply;
  }
  try {
    table_.Adopt(aMessage);
    reply.isAccepted_ = true;
  } catch (const RequestRefused& refused) {
    reply.reason_ = refused.what();
  }
  return reply;
}

} // namespace sycamoreward
