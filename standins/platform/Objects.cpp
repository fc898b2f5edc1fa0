// Object store of the platform stand-in: a subset of the S3 REST API under
// /objects/{bucket}/{key}.

#include "platform/PlatformStandIn.h"

namespace sycamoreward::platform {

namespace {

const std::string kPrefix = "/objects/";
constexpr std::size_t kMaxListed = 1000;

} // namespace

void
PlatformStandIn::ListObjects(const Exchange& aExchange,
                             const std::string& aBucket)
{
  const auto& query = aExchange->Request().query_;
  const auto given = query.find("prefix");
  const auto after = query.find("start-after");
  const std::string start =
    aBucket + "/" + (given == query.end() ? "" : given->second);
  std::string keys;
  std::size_t count = 0;
  bool isTruncated = false;
  for (auto object = objects_.lower_bound(start);
       object != objects_.end() &&
       object->first.compare(0, start.size(), start) == 0;
       ++object) {
    const std::string key = object->first.substr(aBucket.size() + 1);
    if (after != query.end() && key <= after->second) {
      continue;
    }
    if (count++ == kMaxListed) {
      isTruncated = true;
      break;
    }
    keys += "<Contents><Key>" + key + "</Key></Contents>";
  }
  aExchange->Reply(200,
                   { { "Content-Type", "application/xml" } },
                   "<ListBucketResult><IsTruncated>" +
                     std::string(isTruncated ? "true" : "false") +
                     "</IsTruncated>" + keys + "</ListBucketResult>");
}

void
PlatformStandIn::ServeObjects(const Exchange& aExchange)
{
  const HttpServerRequest& request = aExchange->Request();
  const std::string name = request.path_.substr(kPrefix.size());
  if (request.query_.count("list-type") != 0) {
    ListObjects(aExchange, name.substr(0, name.find('/')));
    return;
  }
  const auto found = objects_.find(name);
  if (request.method_ == HttpMethod::Put) {
    const bool isNew = found == objects_.end();
    if (!isNew && FindHeader(request.headers_, "If-None-Match") == "*") {
      aExchange->Reply(
        412, {}, "<Error><Code>PreconditionFailed</Code></Error>");
      return;
    }
    objects_[name] = request.body_;
    aExchange->Reply(200, {}, "");
  } else if (found == objects_.end()) {
    aExchange->Reply(404, {}, "<Error><Code>NoSuchKey</Code></Error>");
  } else {
    aExchange->Reply(200, {}, found->second);
  }
}

} // namespace sycamoreward::platform
