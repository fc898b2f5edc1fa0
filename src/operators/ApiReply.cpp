#include "operators/ApiReply.h"

#include <nlohmann/json.hpp>

namespace sycamoreward {

using Json = nlohmann::json;

void
ReplyJson(const std::shared_ptr<HttpExchange>& aExchange,
          int aStatus,
          const Json& aBody)
{
  aExchange->Reply(aStatus,
                   { { "Content-Type", "application/json" } },
                   aBody.dump(-1, ' ', false, Json::error_handler_t::replace));
}

void
ReplyError(const std::shared_ptr<HttpExchange>& aExchange,
           int aStatus,
           const std::string& aCode,
           const std::string& aMessage,
           const std::vector<FieldError>& aDetails)
{
  Json error{ { "code", aCode },
              { "message", aMessage },
              { "step", "operators" },
              { "details", Json::array() } };
  for (const FieldError& detail : aDetails) {
    error["details"].push_back(
      { { "field", detail.field_ }, { "message", detail.message_ } });
  }
  ReplyJson(aExchange, aStatus, { { "error", std::move(error) } });
}

} // namespace sycamoreward
