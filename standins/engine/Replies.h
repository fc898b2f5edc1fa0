#pragma once

// Parses requests to the engine stand-in and formats its replies, both in the
// format of the OpenAI API.

#include "engine/Batch.h"

#include <nlohmann/json_fwd.hpp>

namespace sycamoreward::standin {

// Returns the stream event for one token.
std::string
TokenEvent(const Run& aRun, const std::string& aToken, std::uint64_t aIndex);

// Returns the event with the finish reason and usage, followed by [DONE].
std::string
FinalEvents(const Run& aRun);

// Returns the reply body of a request that is not streamed.
std::string
CompleteReply(const Run& aRun);

// Parses a completions or chat request. Throws UserError if it is malformed.
std::shared_ptr<Run>
ReadRun(const HttpServerRequest& aRequest);

nlohmann::json
ToJson(const EngineCounters& aCounters);

} // namespace sycamoreward::standin
