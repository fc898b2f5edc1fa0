#include "platformapi/Query.h"

#include <cstdlib>

namespace sycamoreward::standin {

namespace {

std::string
Unescape(const std::string& aText)
{
  std::string text;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    if (aText[at] == '%' && at + 2 < aText.size()) {
      text.push_back(
        char(std::strtol(aText.substr(at + 1, 2).c_str(), nullptr, 16)));
      at += 2;
    } else {
      text.push_back(aText[at]);
    }
  }
  return text;
}

} // namespace

std::string
PathOf(const std::string& aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::map<std::string, std::string>
QueryOf(const std::string& aTarget)
{
  std::map<std::string, std::string> query;
  std::size_t at = aTarget.find('?');
  while (at != std::string::npos) {
    const std::size_t end = aTarget.find('&', at + 1);
    const std::string item =
      aTarget.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    const std::size_t equals = item.find('=');
    if (equals != std::string::npos) {
      query[item.substr(0, equals)] = Unescape(item.substr(equals + 1));
    }
    at = end;
  }
  return query;
}

void
AnswerJson(http::CallerExchange& aExchange,
           int aStatus,
           const std::string& aBody)
{
  http::ResponseHead head;
  head.status_ = aStatus;
  head.reason_ = "Stand-in";
  head.fields_.push_back({ "Content-Type", "application/json" });
  aExchange.Answer(std::move(head), aBody);
}

} // namespace sycamoreward::standin
