// The buffer of outcomes in LedgerClient that are not durable yet.

#include "ledger/LedgerClient.h"
#include "runtime/EventLoop.h"

#include <algorithm>

namespace sycamoreward {

namespace {

constexpr Duration kBatchDelay = std::chrono::milliseconds(10);
constexpr Duration kInitialBackoff = std::chrono::milliseconds(250);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);
constexpr std::uint64_t kMaxMessageBytes = 1024 * 1024;

} // namespace

std::uint64_t
LedgerClient::EstimateSize(const Outcome& aOutcome)
{
  constexpr std::uint64_t kFixedBytes = 256;
  std::uint64_t size =
    kFixedBytes + aOutcome.request_.Value().size() +
    aOutcome.keyDigest_.size() + aOutcome.bodyDigest_.size() +
    aOutcome.answerDigest_.size() + aOutcome.evidence_.size();
  for (const AttemptRecord& attempt : aOutcome.attempts_) {
    size +=
      sizeof(attempt) + attempt.server_.Value().size() + attempt.end_.size();
  }
  return size + (aOutcome.answer_ ? aOutcome.answer_->body_.size() : 0);
}

bool
LedgerClient::HasBufferSpace() const
{
  return bufferedBytes_ < options_.maxBuffer_.Value();
}

void
LedgerClient::Record(const Outcome& aOutcome, std::function<void()> aOnDurable)
{
  static_cast<void>(ParsePartition(aOutcome.request_));
  active_.erase(aOutcome.request_);
  const auto inserted = buffer_.emplace(aOutcome.request_, Buffered());
  Buffered& buffered = inserted.first->second;
  if (aOnDurable) {
    buffered.onDurable_.push_back(std::move(aOnDurable));
  }
  if (!inserted.second) {
    return;
  }
  buffered.outcome_ = aOutcome;
  const bool isStoredSeparately = IsStoredSeparately(aOutcome);
  if (!isStoredSeparately) {
    TruncateForRow(buffered.outcome_);
  }
  buffered.bytes_ = EstimateSize(buffered.outcome_);
  bufferedBytes_ += buffered.bytes_;
  if (isStoredSeparately) {
    StoreAnswer(aOutcome.request_, 1);
    return;
  }
  unsent_.push_back(aOutcome.request_);
  ScheduleSend(kBatchDelay);
}

void
LedgerClient::ScheduleSend(Duration aDelay)
{
  if (std::exchange(isSendScheduled_, true)) {
    return;
  }
  loop_.CallAfter(aDelay, Guard([this] {
                    isSendScheduled_ = false;
                    SendUnsent();
                  }));
}

void
LedgerClient::SendUnsent()
{
  struct Group
  {
    std::vector<RequestId> requests_;
    std::uint64_t bytes_ = 0;
  };
  std::map<LedgerPartition, Group> groups;
  std::deque<RequestId> remaining;
  for (const RequestId& request : unsent_) {
    Group& group = groups[ParsePartition(request)];
    const std::uint64_t bytes = buffer_.at(request).bytes_;
    if (!group.requests_.empty() && group.bytes_ + bytes > kMaxMessageBytes) {
      remaining.push_back(request);
      continue;
    }
    group.requests_.push_back(request);
    group.bytes_ += bytes;
  }
  unsent_ = std::move(remaining);
  for (const auto& group : groups) {
    const auto registrar = FindRegistrar(group.second.requests_.front());
    if (registrar) {
      SendRecord(*registrar, group.second.requests_);
    } else {
      OnRecorded(group.second.requests_, {});
    }
  }
  if (!unsent_.empty()) {
    ScheduleSend(kBatchDelay);
  }
}

void
LedgerClient::SendRecord(const PeerIdentity& aRegistrar,
                         const std::vector<RequestId>& aRequests)
{
  sycamoreward::Record record;
  for (const RequestId& request : aRequests) {
    record.outcomes_.push_back(buffer_.at(request).outcome_);
  }
  if (IsLocal(aRegistrar)) {
    local_->ServeRecord(
      record.outcomes_,
      Guard([this, aRequests](const std::vector<RequestId>& aDurable) {
        loop_.Post(Guard(
          [this, aRequests, aDurable] { OnRecorded(aRequests, aDurable); }));
      }));
    return;
  }
  peers_.Call(aRegistrar,
              std::move(record),
              options_.recordTimeout_,
              Guard([this, aRequests](const PeerReply& aReply) {
                const auto* recorded =
                  aReply.message_ ? std::get_if<Recorded>(&*aReply.message_)
                                  : nullptr;
                OnRecorded(aRequests,
                           recorded != nullptr ? recorded->requests_
                                               : std::vector<RequestId>());
              }));
}

void
LedgerClient::OnRecorded(const std::vector<RequestId>& aSent,
                         const std::vector<RequestId>& aDurable)
{
  const std::set<RequestId> durable(aDurable.begin(), aDurable.end());
  std::vector<std::function<void()>> callbacks;
  bool hasFailed = false;
  for (const RequestId& request : aSent) {
    const auto found = buffer_.find(request);
    if (found == buffer_.end()) {
      continue;
    }
    if (durable.count(request) == 0) {
      unsent_.push_back(request);
      hasFailed = true;
      continue;
    }
    bufferedBytes_ -= found->second.bytes_;
    for (auto& callback : found->second.onDurable_) {
      callbacks.push_back(std::move(callback));
    }
    buffer_.erase(found);
  }
  if (hasFailed) {
    backoff_ = std::clamp(backoff_ * 2, kInitialBackoff, kMaxBackoff);
    ScheduleSend(backoff_);
  } else {
    backoff_ = Duration(0);
  }
  for (const auto& callback : callbacks) {
    callback();
  }
}

} // namespace sycamoreward
