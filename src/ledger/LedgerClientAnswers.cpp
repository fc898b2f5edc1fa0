// Storage of large answers of unrepeatable requests: LedgerClient keeps them in
// the object store, because they do not fit into a table row.

#include "base/Digest.h"
#include "ledger/LedgerClient.h"
#include "runtime/EventLoop.h"
#include "telemetry/Log.h"

#include <nlohmann/json.hpp>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

// Number of attempts to store an answer before its outcome is recorded without
// it.
constexpr unsigned kMaxStoreAttempts = 3;
constexpr Duration kStoreRetryDelay = std::chrono::milliseconds(250);

std::string
ObjectName(const RequestId& aRequest)
{
  return "answers/" + aRequest.Value();
}

// Serializes an answer as one line of JSON with status and content type,
// followed by the body.
std::string
SerializeAnswer(const KeptAnswer& aAnswer)
{
  const Json head{ { "status", aAnswer.status_ },
                   { "contentType", aAnswer.contentType_ } };
  return head.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n" +
         aAnswer.body_;
}

// Returns nothing when the object is malformed or its body does not match the
// digest in the outcome.
std::optional<KeptAnswer>
ParseAnswer(const std::string& aText, const Outcome& aOutcome)
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
LedgerClient::IsStoredSeparately(const Outcome& aOutcome) const
{
  return options_.answers_ != nullptr && aOutcome.answer_ &&
         aOutcome.answer_->body_.size() > kMaxKeptAnswerBytes;
}

void
LedgerClient::StoreAnswer(const RequestId& aRequest, unsigned aStoreAttempt)
{
  const std::string text =
    SerializeAnswer(*buffer_.at(aRequest).outcome_.answer_);
  options_.answers_->PutNew(
    ObjectName(aRequest),
    text,
    Guard([this, aRequest, text, aStoreAttempt](WriteResult aResult) {
      if (aResult == WriteResult::Committed) {
        OnAnswerStored(aRequest);
      } else {
        VerifyStoredAnswer(aRequest, text, aStoreAttempt);
      }
    }));
}

// An earlier attempt may have stored the answer although its reply was lost.
void
LedgerClient::VerifyStoredAnswer(const RequestId& aRequest,
                                 const std::string& aText,
                                 unsigned aStoreAttempt)
{
  options_.answers_->Get(
    ObjectName(aRequest),
    Guard([this, aRequest, aText, aStoreAttempt](
            const ObjectStore::GetReply& aReply) {
      if (aReply.isOk_ && aReply.body_ == aText) {
        OnAnswerStored(aRequest);
      } else if (aStoreAttempt < kMaxStoreAttempts) {
        loop_.CallAfter(kStoreRetryDelay,
                        Guard([this, aRequest, aStoreAttempt] {
                          StoreAnswer(aRequest, aStoreAttempt + 1);
                        }));
      } else {
        LogFor("ledger")->warn("The answer of request {} could not be stored; "
                               "its outcome is recorded without it.",
                               aRequest.Value());
        OnAnswerStored(aRequest);
      }
    }));
}

void
LedgerClient::OnAnswerStored(const RequestId& aRequest)
{
  Buffered& buffered = buffer_.at(aRequest);
  bufferedBytes_ -= buffered.bytes_;
  TruncateForRow(buffered.outcome_);
  buffered.bytes_ = EstimateSize(buffered.outcome_);
  bufferedBytes_ += buffered.bytes_;
  unsent_.push_back(aRequest);
  ScheduleSend(Duration(0));
}

bool
LedgerClient::NeedsStoredAnswer(const RegisterRequest& aRequest,
                                const RegisterReply& aReply) const
{
  return options_.answers_ != nullptr && aRequest.isDurable_ &&
         aReply.outcome_ && !aReply.outcome_->answer_ &&
         aReply.outcome_->answerLength_.Value() > kMaxKeptAnswerBytes;
}

// Calls back without an answer when the store has none, and with Unsettled when
// the store cannot be read at the moment.
void
LedgerClient::FetchAnswer(RegisterReply aReply,
                          std::function<void(RegisterReply)> aOnReply)
{
  const RequestId request = aReply.request_;
  options_.answers_->Get(
    ObjectName(request),
    Guard([reply = std::move(aReply),
           onReply = std::move(aOnReply)](const ObjectStore::GetReply& aFound) {
      RegisterReply complete = reply;
      if (!aFound.isOk_) {
        complete.status_ = RegisterStatus::Unsettled;
        complete.outcome_.reset();
      } else if (aFound.body_) {
        complete.outcome_->answer_ =
          ParseAnswer(*aFound.body_, *complete.outcome_);
      }
      onReply(std::move(complete));
    }));
}

} // namespace sycamoreward
