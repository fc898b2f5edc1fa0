#pragma once

// Reads the events of an engine's stream in their usual form without building
// a JSON document. At 88,000 tokens a second the documents were the largest
// part of the processor time of an entry instance.

#include "requests/ModelCall.h"

#include <optional>
#include <string_view>

namespace sycamoreward {

// Empty when aData is malformed or has something that only the JSON parser
// reads: bytes outside ASCII, \u escapes, other numbers than short whole ones.
std::optional<EngineEvent>
ScanEngineEvent(std::string_view aData);

// Appends aText as a JSON string with its quotes. Returns false, and appends
// nothing, when aText has bytes outside ASCII.
bool
AppendJsonString(std::string& aOut, std::string_view aText);

} // namespace sycamoreward
