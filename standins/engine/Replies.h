#pragma once

// Bodies of the engine stand-in's replies in the form of the OpenAI API.

#include "engine/Batch.h"

#include <nlohmann/json_fwd.hpp>

namespace sycamoreward::standin {

// The event of one token.
std::string
TokenEvent(const Run& aRun, const std::string& aToken, std::uint64_t aIndex);

// The event with the finish reason and the usage, then [DONE].
std::string
FinalEvents(const Run& aRun);

// The whole reply of a request that is not streamed.
std::string
CompleteReply(const Run& aRun);

// Reads a completions or chat request. Throws UserError.
std::shared_ptr<Run>
ReadRun(const HttpServerRequest& aRequest);

nlohmann::json
ToJson(const EngineCounters& aCounters);

} // namespace sycamoreward::standin
