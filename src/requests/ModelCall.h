#pragma once

// Requests to model services: what a caller asked for, what is sent to an
// engine, and the events of an engine's stream.

#include "base/Ids.h"
#include "base/Units.h"
#include "configuration/Resource.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace sycamoreward {

struct ModelCall
{
  // The "model" field, which names a Service resource.
  ServiceName service_;
  bool isChat_ = false;
  bool isStream_ = false;
  // 0 when the caller gave none.
  Tokens maxTokens_;
  std::string prompt_;
  nlohmann::json body_;
};

// Throws RequestRefused when aBody is not a request that can be served.
ModelCall
ParseModelCall(bool aIsChat, const std::string& aBody);

// Estimate of the prompt's length.
Tokens
EstimateTokens(const std::string& aPrompt);

// Hashes of growing prefixes of the prompt in whole blocks of 64 bytes, the
// longest last; at most 256. FNV-1a over 64 bit, as in engines' cache events.
std::vector<std::uint64_t>
PrefixHashes(const std::string& aPrompt);

// Body of an engine call. The engine continues after aDelivered.
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
  // Set on the last event, whose index is the number of tokens.
  std::optional<std::string> finishReason_;
  // The end mark "[DONE]".
  bool isDone_ = false;
};

// Empty when aData is not an event in the agreed form.
std::optional<EngineEvent>
ParseEngineEvent(const std::string& aData);

} // namespace sycamoreward
