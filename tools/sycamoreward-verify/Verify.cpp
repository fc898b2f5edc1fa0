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

constexpr std::chrono::seconds kAnswerLimit{ 90 };
constexpr std::chrono::seconds kCallLimit{ 5 };
constexpr unsigned kQueryTokens = 12;
// A record becomes durable a moment after the reply.
constexpr unsigned kLookupTries = 40;
constexpr std::chrono::milliseconds kLookupPause{ 100 };

class Verifier
{
public:
  explicit Verifier(const VerifyOptions& aOptions)
    : options_(aOptions)
    , completions_(loop_, client_, aOptions.completionToken_)
    , records_(loop_, client_, aOptions.recordToken_)
  {
  }

  void Ask();
  History Collect();

private:
  // Entry instances in turn, the first one by aNumber.
  std::vector<Address> AddressesFor(unsigned aNumber) const;
  void Schedule(unsigned aCount, const std::function<void(unsigned)>& aStart);
  void Wait(Duration aTime);
  std::optional<nlohmann::json> Get(const Address& aAddress,
                                    const std::string& aTarget,
                                    const std::string& aToken);
  void ReadRuns(const std::vector<Address>& aServers, RunCounts& aRuns);
  void ReadRecords(const RecordingCaller& aCaller,
                   const std::string& aToken,
                   std::vector<Outcome>& aLedger);

  VerifyOptions options_;
  SystemClock clock_;
  EventLoop loop_{ clock_ };
  HttpClient client_{ loop_ };
  RecordingCaller completions_;
  RecordingCaller records_;
  unsigned toStart_ = 0;
};

std::vector<Address>
Verifier::AddressesFor(unsigned aNumber) const
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
    ++toStart_;
    loop_.CallAfter(at, [this, aStart, number] {
      --toStart_;
      aStart(number);
    });
  }
}

void
Verifier::Ask()
{
  Schedule(options_.queries_, [this](unsigned aNumber) {
    completions_.Start(CompletionRequest("query " + std::to_string(aNumber),
                                         options_.queryService_,
                                         kQueryTokens,
                                         AddressesFor(aNumber)));
  });
  Schedule(options_.reviews_, [this](unsigned aNumber) {
    completions_.Start(CompletionRequest("review " + std::to_string(aNumber),
                                         options_.reviewService_,
                                         options_.reviewTokens_,
                                         AddressesFor(aNumber)));
  });
  Schedule(options_.records_, [this](unsigned aNumber) {
    records_.Start(RecordRequest("record " + std::to_string(aNumber),
                                 options_.recordService_,
                                 AddressesFor(aNumber)));
  });
  loop_.RunUntil(
    [this] {
      return toStart_ == 0 && completions_.IsDone() && records_.IsDone();
    },
    kAnswerLimit);
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
  request.silenceTimeout_ = kCallLimit;
  std::optional<HttpClientReply> reply;
  client_.Fetch(request,
                [&](HttpClientReply aReply) { reply = std::move(aReply); });
  loop_.RunUntil([&] { return reply.has_value(); }, 2 * kCallLimit);
  if (!reply || reply->end_ != HttpEnd::Complete || reply->status_ != 200) {
    return std::nullopt;
  }
  return nlohmann::json::parse(reply->body_);
}

void
Verifier::ReadRuns(const std::vector<Address>& aServers, RunCounts& aRuns)
{
  for (const Address& address : aServers) {
    const auto counters = Get(address, "/counters", "");
    if (!counters) {
      std::cout << "The counters of " << ToString(address)
                << " can't be read; its runs are not counted.\n";
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
Verifier::ReadRecords(const RecordingCaller& aCaller,
                      const std::string& aToken,
                      std::vector<Outcome>& aLedger)
{
  for (const CallerHistory& caller : aCaller.Histories()) {
    if (caller.replies_.empty() || caller.replies_.back().status_ != 200) {
      continue;
    }
    const RequestId request = caller.replies_.back().request_;
    for (unsigned tries = 0; tries < kLookupTries; ++tries) {
      const Address& entry =
        options_.entries_[tries % options_.entries_.size()];
      const auto record = Get(entry, "/v1/requests/" + request.Value(), aToken);
      if (record && record->value("state", "") == "ended") {
        Outcome outcome;
        outcome.request_ = request;
        outcome.kind_ = ParseOutcomeKind(record->at("outcome"));
        aLedger.push_back(outcome);
        break;
      }
      Wait(kLookupPause);
    }
  }
}

History
Verifier::Collect()
{
  History history;
  history.callers_ = completions_.Histories();
  const auto records = records_.Histories();
  history.callers_.insert(
    history.callers_.end(), records.begin(), records.end());
  ReadRecords(completions_, options_.completionToken_, history.ledger_);
  ReadRecords(records_, options_.recordToken_, history.ledger_);
  ReadRuns(options_.engines_, history.runs_);
  ReadRuns(options_.services_, history.runs_);
  return history;
}

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

struct Line
{
  unsigned asked_ = 0;
  unsigned answered_ = 0;
  unsigned askedAgain_ = 0;
  Duration slowest_{ 0 };
};

// Returns whether all were answered.
bool
PrintTable(const History& aHistory)
{
  std::map<std::string, Line> lines;
  bool areAllAnswered = true;
  for (const CallerHistory& caller : aHistory.callers_) {
    Line& line = lines[caller.service_.Value()];
    ++line.asked_;
    if (caller.replies_.empty()) {
      areAllAnswered = false;
      continue;
    }
    const CallerReply& last = caller.replies_.back();
    const bool isAnswered = last.isWhole_ && last.status_ == 200;
    areAllAnswered = areAllAnswered && isAnswered;
    line.answered_ += isAnswered ? 1 : 0;
    line.askedAgain_ += caller.replies_.size() > 1 ? 1 : 0;
    line.slowest_ = std::max(line.slowest_, last.elapsed_);
  }
  std::printf("%-20s %6s %9s %12s %12s\n",
              "service",
              "asked",
              "answered",
              "asked again",
              "slowest ms");
  for (const auto& [service, line] : lines) {
    std::printf("%-20s %6u %9u %12u %12.1f\n",
                service.c_str(),
                line.asked_,
                line.answered_,
                line.askedAgain_,
                static_cast<double>(line.slowest_.count()) / 1000.0);
  }
  return areAllAnswered;
}

} // namespace

int
RunVerify(const VerifyOptions& aOptions)
{
  Verifier verifier(aOptions);
  verifier.Ask();
  History history = verifier.Collect();
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
