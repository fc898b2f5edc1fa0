#pragma once

// Requests to model services: parsing the caller's request, building the
// engine's request, and parsing the events of an engine's stream.

#include "base/Ids.h"
#include "base/Units.h"
#include "configuration/Resource.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace sycamoreward {

// A parsed completions or chat completions request.
struct ModelCall
{
  // The "model" field, which names a Service resource.
  ServiceName service_;
  bool isChat_ = false;
  bool isStream_ = false;
  // 0 when the caller set no limit.
  Tokens maxTokens_;
  // Text of the prompt or of all chat messages.
  std::string prompt_;
  // The request body as parsed, and the number of its values.
  nlohmann::json body_;
  std::size_t values_ = 0;
};

// Parses a request body. Throws RequestRefused when aBody is invalid or asks
// for something that is not supported.
ModelCall
ParseModelCall(bool aIsChat, const std::string& aBody);

// Estimates the length of the prompt, at 4 bytes per token.
Tokens
EstimateTokens(const std::string& aPrompt);

// Returns 64-bit FNV-1a hashes of the prompt's prefixes, in steps of whole
// blocks of 64 bytes, shortest prefix first; at most 256. Engines use the same
// hashes in their cache events.
std::vector<std::uint64_t>
PrefixHashes(const std::string& aPrompt);

// Returns the body of an engine call. The engine continues after the tokens in
// aDelivered.
std::string
EngineBody(const ModelCall& aCall,
           const Service& aService,
           const RequestId& aRequest,
           AttemptNumber aAttempt,
           const std::vector<std::string>& aDelivered);

// An event of an engine's stream.
struct EngineEvent
{
  AttemptNumber attempt_;
  PartIndex index_;
  std::string text_;
  // Set on the last event only, whose index is the number of tokens.
  std::optional<std::string> finishReason_;
  // The end mark "[DONE]".
  bool isDone_ = false;
};

// Parses one event. Returns nullopt when aData does not have the expected form.
std::optional<EngineEvent>
ParseEngineEvent(const std::string& aData);

} // namespace sycamoreward
