#include "Verify.h"

#include "caller/RecordingCaller.h"
#include "ledger/Outcome.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <iostream>

namespace sycamoreward {

namespace {

constexpr std::chrono::seconds kAnswerTimeout{ 90 };
constexpr std::chrono::seconds kCallTimeout{ 5 };
constexpr unsigned kQueryTokens = 12;
// An outcome record becomes durable shortly after the reply, so lookups are
// retried.
constexpr unsigned kMaxLookupAttempts = 40;
constexpr std::chrono::milliseconds kLookupInterval{ 100 };

// Sends the requests, and collects their history from the callers, the ledger
// and the stand-ins.
class Verifier
{
public:
  explicit Verifier(const VerifyOptions& aOptions)
    : options_(aOptions)
    , completions_(loop_, client_, aOptions.completionToken_)
    , records_(loop_, client_, aOptions.recordToken_)
  {
  }

  void SendRequests();
  History CollectHistory();

private:
  // Returns the entry instances rotated by aNumber, so that successive requests
  // start at different instances.
  std::vector<Address> RotateEntries(unsigned aNumber) const;
  void Schedule(unsigned aCount, const std::function<void(unsigned)>& aStart);
  void Wait(Duration aTime);
  std::optional<nlohmann::json> Get(const Address& aAddress,
                                    const std::string& aTarget,
                                    const std::string& aToken);
  void ReadRunCounts(const std::vector<Address>& aServers, RunCounts& aRuns);
  void ReadOutcomes(const RecordingCaller& aCaller,
                    const std::string& aToken,
                    std::vector<Outcome>& aLedger);

  VerifyOptions options_;
  SystemClock clock_;
  EventLoop loop_{ clock_ };
  HttpClient client_{ loop_ };
  RecordingCaller completions_;
  RecordingCaller records_;
  unsigned pendingStarts_ = 0;
};

std::vector<Address>
Verifier::RotateEntries(unsigned aNumber) const
{
  std::vector<Address> addresses = options_.entries_;
  const auto first = aNumber % addresses.size();
  std::rotate(addresses.begin(),
              addresses.begin() + std::ptrdiff_t(first),
              addresses.end());
  return addresses;
}

void
Verifier::Schedule(unsigned aCount, const std::function<void(unsigned)>& aStart)
{
  for (unsigned number = 0; number < aCount; ++number) {
    const auto at = options_.spread_ * number / aCount;
    ++pendingStarts_;
    loop_.CallAfter(at, [this, aStart, number] {
      --pendingStarts_;
      aStart(number);
    });
  }
}

void
Verifier::SendRequests()
{
  Schedule(options_.queries_, [this](unsigned aNumber) {
    completions_.Start(CompletionRequest("query " + std::to_string(aNumber),
                                         options_.queryService_,
                                         kQueryTokens,
                                         RotateEntries(aNumber)));
  });
  Schedule(options_.reviews_, [this](unsigned aNumber) {
    completions_.Start(CompletionRequest("review " + std::to_string(aNumber),
                                         options_.reviewService_,
                                         options_.reviewTokens_,
                                         RotateEntries(aNumber)));
  });
  Schedule(options_.records_, [this](unsigned aNumber) {
    records_.Start(RecordRequest("record " + std::to_string(aNumber),
                                 options_.recordService_,
                                 RotateEntries(aNumber)));
  });
  loop_.RunUntil(
    [this] {
      return pendingStarts_ == 0 && completions_.IsDone() && records_.IsDone();
    },
    kAnswerTimeout);
}

void
Verifier::Wait(Duration aTime)
{
  loop_.RunUntil([] { return false; }, aTime);
}

std::optional<nlohmann::json>
Verifier::Get(const Address& aAddress,
              const std::string& aTarget,
              const std::string& aToken)
{
  HttpClientRequest request;
  request.address_ = aAddress;
  request.target_ = aTarget;
  request.headers_ = { { "Authorization", "Bearer " + aToken } };
  request.silenceTimeout_ = kCallTimeout;
  std::optional<HttpClientReply> reply;
  client_.Fetch(request,
                [&](HttpClientReply aReply) { reply = std::move(aReply); });
  loop_.RunUntil([&] { return reply.has_value(); }, 2 * kCallTimeout);
  if (!reply || reply->end_ != HttpEnd::Complete || reply->status_ != 200) {
    return std::nullopt;
  }
  return nlohmann::json::parse(reply->body_);
}

void
Verifier::ReadRunCounts(const std::vector<Address>& aServers, RunCounts& aRuns)
{
  for (const Address& address : aServers) {
    const auto counters = Get(address, "/counters", "");
    if (!counters) {
      std::cout << "The counters of " << ToString(address)
                << " can't be read; the runs on it are not counted.\n";
      continue;
    }
    if (counters->contains("runs")) {
      for (const auto& [id, runs] : counters->at("runs").items()) {
        aRuns[RequestId(id)] += runs.get<unsigned>();
      }
    }
    if (counters->contains("requests")) {
      for (const auto& [id, run] : counters->at("requests").items()) {
        aRuns[RequestId(id)] += run.at("runs").get<unsigned>();
      }
    }
  }
}

void
Verifier::ReadOutcomes(const RecordingCaller& aCaller,
                       const std::string& aToken,
                       std::vector<Outcome>& aLedger)
{
  for (const CallerHistory& caller : aCaller.Histories()) {
    if (caller.replies_.empty() || caller.replies_.back().status_ != 200) {
      continue;
    }
    const RequestId request = caller.replies_.back().request_;
    for (unsigned attempt = 0; attempt < kMaxLookupAttempts; ++attempt) {
      const Address& entry =
        options_.entries_[attempt % options_.entries_.size()];
      const auto record = Get(entry, "/v1/requests/" + request.Value(), aToken);
      if (record && record->value("state", "") == "ended") {
        Outcome outcome;
        outcome.request_ = request;
        outcome.kind_ = ParseOutcomeKind(record->at("outcome"));
        aLedger.push_back(outcome);
        break;
      }
      Wait(kLookupInterval);
    }
  }
}

History
Verifier::CollectHistory()
{
  History history;
  history.callers_ = completions_.Histories();
  const auto records = records_.Histories();
  history.callers_.insert(
    history.callers_.end(), records.begin(), records.end());
  ReadOutcomes(completions_, options_.completionToken_, history.ledger_);
  ReadOutcomes(records_, options_.recordToken_, history.ledger_);
  ReadRunCounts(options_.engines_, history.runs_);
  ReadRunCounts(options_.services_, history.runs_);
  return history;
}

// Introduces one violation of the given kind into aHistory.
void
Falsify(History& aHistory, Violation aViolation)
{
  for (CallerHistory& caller : aHistory.callers_) {
    if (aViolation == Violation::Lost) {
      caller.replies_.clear();
      return;
    }
    if (aViolation == Violation::Cut && !caller.expectedAnswer_.empty()) {
      caller.replies_.back().answer_.pop_back();
      return;
    }
    if (aViolation == Violation::Doubled && !caller.isRepeatable_) {
      ++aHistory.runs_[caller.replies_.back().request_];
      return;
    }
  }
}

// Counts for one service, and the longest time to an answer.
struct ServiceStats
{
  unsigned sent_ = 0;
  unsigned answered_ = 0;
  unsigned retried_ = 0;
  Duration slowest_{ 0 };
};

// Prints the counts of each service. Returns whether all requests were
// answered.
bool
PrintTable(const History& aHistory)
{
  std::map<std::string, ServiceStats> statsByService;
  bool areAllAnswered = true;
  for (const CallerHistory& caller : aHistory.callers_) {
    ServiceStats& stats = statsByService[caller.service_.Value()];
    ++stats.sent_;
    if (caller.replies_.empty()) {
      areAllAnswered = false;
      continue;
    }
    const CallerReply& last = caller.replies_.back();
    const bool isAnswered = last.isComplete_ && last.status_ == 200;
    areAllAnswered = areAllAnswered && isAnswered;
    stats.answered_ += isAnswered ? 1 : 0;
    stats.retried_ += caller.replies_.size() > 1 ? 1 : 0;
    stats.slowest_ = std::max(stats.slowest_, last.elapsed_);
  }
  std::printf("%-20s %6s %9s %12s %12s\n",
              "service",
              "asked",
              "answered",
              "asked again",
              "slowest ms");
  for (const auto& [service, stats] : statsByService) {
    std::printf("%-20s %6u %9u %12u %12.1f\n",
                service.c_str(),
                stats.sent_,
                stats.answered_,
                stats.retried_,
                static_cast<double>(stats.slowest_.count()) / 1000.0);
  }
  return areAllAnswered;
}

} // namespace

int
RunVerify(const VerifyOptions& aOptions)
{
  Verifier verifier(aOptions);
  verifier.SendRequests();
  History history = verifier.CollectHistory();
  if (aOptions.falsify_) {
    Falsify(history, *aOptions.falsify_);
  }
  const bool areAllAnswered = PrintTable(history);
  const auto findings = CheckHistory(history);
  for (const Finding& finding : findings) {
    std::cout << ToString(finding.violation_) << ": " << finding.request_
              << ": " << finding.detail_ << "\n";
  }
  std::cout << findings.size() << " violations\n";
  return areAllAnswered && findings.empty() ? 0 : 1;
}

} // namespace sycamoreward
