// Large answers of unrepeatable requests: LedgerClient keeps them in the object
// store, because a row of the table can't hold them.

#include "base/Digest.h"
#include "ledger/LedgerClient.h"
#include "runtime/EventLoop.h"
#include "telemetry/Log.h"

#include <nlohmann/json.hpp>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

// Tries to store an answer before its outcome is recorded without it.
constexpr unsigned kMaxStoreTries = 3;
constexpr Duration kStorePause = std::chrono::milliseconds(250);

std::string
ObjectName(const RequestId& aRequest)
{
  return "answers/" + aRequest.Value();
}

// A line of JSON with status and type, then the body.
std::string
ToObject(const KeptAnswer& aAnswer)
{
  const Json head{ { "status", aAnswer.status_ },
                   { "contentType", aAnswer.contentType_ } };
  return head.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n" +
         aAnswer.body_;
}

// Empty when the object is malformed or has another body than the outcome says.
std::optional<KeptAnswer>
FromObject(const std::string& aText, const Outcome& aOutcome)
{
  const std::size_t end = aText.find('\n');
  const Json head = Json::parse(aText.substr(0, end), nullptr, false);
  if (end == std::string::npos || !head.is_object()) {
    return std::nullopt;
  }
  KeptAnswer answer;
  answer.body_ = aText.substr(end + 1);
  if (Sha256Hex(answer.body_) != aOutcome.answerDigest_) {
    return std::nullopt;
  }
  try {
    answer.status_ = head.at("status").get<int>();
    answer.contentType_ = head.at("contentType").get<std::string>();
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  return answer;
}

} // namespace

bool
LedgerClient::IsStoredApart(const Outcome& aOutcome) const
{
  return options_.answers_ != nullptr && aOutcome.answer_ &&
         aOutcome.answer_->body_.size() > kMaxKeptAnswer;
}

void
LedgerClient::StoreAnswer(const RequestId& aRequest, unsigned aTries)
{
  const std::string text = ToObject(*buffer_.at(aRequest).outcome_.answer_);
  options_.answers_->PutNew(
    ObjectName(aRequest),
    text,
    Guard([this, aRequest, text, aTries](WriteResult aResult) {
      if (aResult == WriteResult::Committed) {
        AfterStored(aRequest);
      } else {
        CheckStored(aRequest, text, aTries);
      }
    }));
}

// An earlier try may have stored it although its reply was lost.
void
LedgerClient::CheckStored(const RequestId& aRequest,
                          const std::string& aText,
                          unsigned aTries)
{
  options_.answers_->Get(
    ObjectName(aRequest),
    Guard([this, aRequest, aText, aTries](const ObjectStore::GetReply& aReply) {
      if (aReply.isOk_ && aReply.body_ == aText) {
        AfterStored(aRequest);
      } else if (aTries < kMaxStoreTries) {
        loop_.CallAfter(kStorePause, Guard([this, aRequest, aTries] {
                          StoreAnswer(aRequest, aTries + 1);
                        }));
      } else {
        LogFor("ledger")->warn("The answer of request {} could not be stored; "
                               "its outcome is recorded without it.",
                               aRequest.Value());
        AfterStored(aRequest);
      }
    }));
}

void
LedgerClient::AfterStored(const RequestId& aRequest)
{
  Buffered& buffered = buffer_.at(aRequest);
  bufferedBytes_ -= buffered.bytes_;
  LimitSize(buffered.outcome_);
  buffered.bytes_ = SizeOf(buffered.outcome_);
  bufferedBytes_ += buffered.bytes_;
  unsent_.push_back(aRequest);
  ScheduleSend(Duration(0));
}

bool
LedgerClient::NeedsAnswer(const RegisterRequest& aRequest,
                          const RegisterReply& aReply) const
{
  return options_.answers_ != nullptr && aRequest.isDurable_ &&
         aReply.outcome_ && !aReply.outcome_->answer_ &&
         aReply.outcome_->answerLength_.Value() > kMaxKeptAnswer;
}

// Calls back without an answer when the store has none, and with Unsettled when
// it can't be read now.
void
LedgerClient::FetchAnswer(RegisterReply aReply,
                          std::function<void(RegisterReply)> aOnReply)
{
  const RequestId request = aReply.request_;
  options_.answers_->Get(
    ObjectName(request),
    Guard([reply = std::move(aReply),
           onReply = std::move(aOnReply)](const ObjectStore::GetReply& aFound) {
      RegisterReply whole = reply;
      if (!aFound.isOk_) {
        whole.status_ = RegisterStatus::Unsettled;
        whole.outcome_.reset();
      } else if (aFound.body_) {
        whole.outcome_->answer_ = FromObject(*aFound.body_, *whole.outcome_);
      }
      onReply(std::move(whole));
    }));
}

} // namespace sycamoreward
