#pragma once

// What requests can have in common that ends every server which runs them.

#include "base/StrongType.h"
#include "edge/WireCodec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sycamoreward::edge {

using Fingerprint = StrongType<struct FingerprintTag, std::uint64_t>;

// Whether the fingerprint is that of a request, not of a part of prompts.
bool
IsRequest(Fingerprint aFingerprint);

// Returns the fingerprints of the parts that the prompt may share with other
// prompts: all but the last one, which belongs to the request or its session.
std::vector<Fingerprint>
PromptFingerprints(const std::vector<PromptPart>& aParts);

// Returns the fingerprint of a request with all that the server sees of it and
// that stays the same when it comes again: method, host, path, workspace and
// body. The parts of its prompt may differ in the last one.
Fingerprint
RequestFingerprint(const http::RequestHead& aHead,
                   const std::string& aBody,
                   const std::string& aHost,
                   const std::string& aWorkspace);

// Returns the fingerprints as hexadecimal numbers, separated by commas.
std::string
ToText(const std::vector<Fingerprint>& aFingerprints);

// Reads a fingerprint written by ToText; nullopt if aText is something else.
std::optional<Fingerprint>
ParseFingerprint(const std::string& aText);

} // namespace sycamoreward::edge
