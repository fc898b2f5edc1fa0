#pragma once

// Helpers of the stand-ins to parse request targets and send JSON answers.

#include "http/CallerServer.h"

#include <map>
#include <string>

namespace sycamoreward::standin {

std::string
PathOf(const std::string& aTarget);

// Returns the unescaped query parameters of a request target.
std::map<std::string, std::string>
QueryOf(const std::string& aTarget);

void
AnswerJson(http::CallerExchange& aExchange,
           int aStatus,
           const std::string& aBody);

} // namespace sycamoreward::standin
