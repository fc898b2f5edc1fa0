#include "ledger/OutcomeJson.h"

#include "base/Error.h"

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

std::int64_t
ToMicroseconds(WallTime aTime)
{
  return aTime.time_since_epoch().count();
}

WallTime
FromMicroseconds(const Json& aValue)
{
  return WallTime(Duration(aValue.get<std::int64_t>()));
}

// Escaped control characters take six bytes each in JSON, but two in
// hexadecimal.
bool
IsPlainText(const std::string& aText)
{
  try {
    return Json(aText).dump().size() <= aText.size() * 2 + 2;
  } catch (const Json::exception&) {
    return false;
  }
}

std::string
ToHex(const std::string& aData)
{
  static const char* const kDigits = "0123456789abcdef";
  std::string text;
  for (const char c : aData) {
    const auto byte = static_cast<unsigned char>(c);
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

std::string
FromHex(const std::string& aText)
{
  std::string data;
  for (std::size_t index = 0; index + 1 < aText.size(); index += 2) {
    data += static_cast<char>(std::stoi(aText.substr(index, 2), nullptr, 16));
  }
  return data;
}

Json
AnswerToJson(const KeptAnswer& aAnswer)
{
  Json json = { { "status", aAnswer.status_ },
                { "contentType", aAnswer.contentType_ } };
  if (IsPlainText(aAnswer.body_)) {
    json["body"] = aAnswer.body_;
  } else {
    json["bodyHex"] = ToHex(aAnswer.body_);
  }
  return json;
}

KeptAnswer
AnswerFromJson(const Json& aJson)
{
  KeptAnswer answer;
  answer.status_ = aJson.at("status").get<int>();
  answer.contentType_ = aJson.at("contentType").get<std::string>();
  answer.body_ = aJson.contains("bodyHex")
                   ? FromHex(aJson.at("bodyHex").get<std::string>())
                   : aJson.at("body").get<std::string>();
  return answer;
}

Json
AttemptToJson(const AttemptRecord& aAttempt)
{
  return { { "number", aAttempt.number_.Value() },
           { "server", aAttempt.server_.Value() },
           { "sentUs", ToMicroseconds(aAttempt.sent_) },
           { "end", aAttempt.end_ } };
}

AttemptRecord
AttemptFromJson(const Json& aJson)
{
  return { AttemptNumber(aJson.at("number").get<std::uint32_t>()),
           ServerId(aJson.at("server").get<std::string>()),
           FromMicroseconds(aJson.at("sentUs")),
           aJson.at("end").get<std::string>() };
}

Outcome
ReadOutcome(const Json& aJson)
{
  Outcome outcome;
  outcome.request_ = RequestId(aJson.at("request").get<std::string>());
  outcome.workspace_ = WorkspaceId(aJson.at("workspace").get<std::string>());
  outcome.service_ = ServiceName(aJson.at("service").get<std::string>());
  outcome.keyDigest_ = aJson.at("keyDigest").get<std::string>();
  outcome.bodyDigest_ = aJson.at("bodyDigest").get<std::string>();
  outcome.kind_ = ParseOutcomeKind(aJson.at("kind").get<std::string>());
  for (const Json& attempt : aJson.at("attempts")) {
    outcome.attempts_.push_back(AttemptFromJson(attempt));
  }
  outcome.accepted_ = FromMicroseconds(aJson.at("acceptedUs"));
  outcome.ended_ = FromMicroseconds(aJson.at("endedUs"));
  outcome.answerDigest_ = aJson.at("answerDigest").get<std::string>();
  outcome.answerLength_ = Bytes(aJson.at("answerLength").get<std::uint64_t>());
  outcome.evidence_ = aJson.at("evidence").get<std::string>();
  if (aJson.contains("answer")) {
    outcome.answer_ = AnswerFromJson(aJson.at("answer"));
  }
  return outcome;
}

} // namespace

Json
OutcomeToJson(const Outcome& aOutcome)
{
  Json json = { { "request", aOutcome.request_.Value() },
                { "workspace", aOutcome.workspace_.Value() },
                { "service", aOutcome.service_.Value() },
                { "keyDigest", aOutcome.keyDigest_ },
                { "bodyDigest", aOutcome.bodyDigest_ },
                { "kind", ToString(aOutcome.kind_) },
                { "attempts", Json::array() },
                { "acceptedUs", ToMicroseconds(aOutcome.accepted_) },
                { "endedUs", ToMicroseconds(aOutcome.ended_) },
                { "answerDigest", aOutcome.answerDigest_ },
                { "answerLength", aOutcome.answerLength_.Value() },
                { "evidence", aOutcome.evidence_ } };
  for (const AttemptRecord& attempt : aOutcome.attempts_) {
    json["attempts"].push_back(AttemptToJson(attempt));
  }
  if (aOutcome.answer_) {
    json["answer"] = AnswerToJson(*aOutcome.answer_);
  }
  return json;
}

Outcome
OutcomeFromJson(const Json& aJson)
{
  try {
    return ReadOutcome(aJson);
  } catch (const std::logic_error& error) {
    throw InternalError(
      "outcome", "", std::string("An outcome is malformed: ") + error.what());
  } catch (const Json::exception& error) {
    throw InternalError(
      "outcome", "", std::string("An outcome is malformed: ") + error.what());
  }
}

} // namespace sycamoreward
