#pragma once

// Replies of the operators' API.

#include "configuration/ResourceJson.h"
#include "runtime/HttpServer.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>
#include <vector>

namespace sycamoreward {

void
ReplyJson(const std::shared_ptr<HttpExchange>& aExchange,
          int aStatus,
          const nlohmann::json& aBody);

// Replies with
// {"error":{"code","message","step","details":[{"field","message"}]}}.
void
ReplyError(const std::shared_ptr<HttpExchange>& aExchange,
           int aStatus,
           const std::string& aCode,
           const std::string& aMessage,
           const std::vector<FieldError>& aDetails = {});

} // namespace sycamoreward
