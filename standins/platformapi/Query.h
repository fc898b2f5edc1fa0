#pragma once

// Parts of request targets, and short answers, for the stand-ins.

#include "http/CallerServer.h"

#include <map>
#include <string>

namespace sycamoreward::standin {

std::string
PathOf(const std::string& aTarget);

// Parameters of the query, unescaped.
std::map<std::string, std::string>
QueryOf(const std::string& aTarget);

void
AnswerJson(http::CallerExchange& aExchange,
           int aStatus,
           const std::string& aBody);

} // namespace sycamoreward::standin
