#include "store/S3ObjectStore.h"

namespace sycamoreward {

namespace {

const std::string kKeyStart = "<Key>";
const std::string kKeyEnd = "</Key>";

std::vector<std::string>
ParseKeys(const std::string& aXml)
{
  std::vector<std::string> keys;
  std::size_t position = 0;
  while ((position = aXml.find(kKeyStart, position)) != std::string::npos) {
    position += kKeyStart.size();
    const std::size_t end = aXml.find(kKeyEnd, position);
    if (end == std::string::npos) {
      break;
    }
    keys.push_back(aXml.substr(position, end - position));
    position = end;
  }
  return keys;
}

} // namespace

S3ObjectStore::S3ObjectStore(HttpClient& aClient,
                             StoreOptions aOptions,
                             std::string aPathPrefix)
  : client_(aClient)
  , options_(std::move(aOptions))
  , pathPrefix_(std::move(aPathPrefix))
{
}

HttpClientRequest
S3ObjectStore::MakeRequest(HttpMethod aMethod, const std::string& aTarget) const
{
  HttpClientRequest request;
  request.address_ = options_.address_;
  request.method_ = aMethod;
  request.target_ = pathPrefix_ + "/" + options_.name_ + aTarget;
  request.connectTimeout_ = options_.timeout_;
  request.silenceTimeout_ = options_.timeout_;
  return request;
}

void
S3ObjectStore::PutNew(const std::string& aName,
                      const std::string& aBody,
                      std::function<void(WriteResult)> aOnResult)
{
  HttpClientRequest request = MakeRequest(HttpMethod::Put, "/" + aName);
  request.headers_ = { { "If-None-Match", "*" } };
  request.body_ = aBody;
  client_.Fetch(
    request, [aOnResult = std::move(aOnResult)](HttpClientReply aReply) {
      if (aReply.end_ == HttpEnd::NotConnected) {
        aOnResult(WriteResult::Refused);
      } else if (aReply.end_ == HttpEnd::Complete && aReply.status_ == 200) {
        aOnResult(WriteResult::Committed);
      } else if (aReply.end_ == HttpEnd::Complete && aReply.status_ == 412) {
        aOnResult(WriteResult::ConditionFailed);
      } else {
        aOnResult(WriteResult::Unknown);
      }
    });
}

void
S3ObjectStore::Get(const std::string& aName,
                   std::function<void(GetReply)> aOnReply)
{
  client_.Fetch(MakeRequest(HttpMethod::Get, "/" + aName),
                [aOnReply = std::move(aOnReply)](HttpClientReply aReply) {
                  GetReply reply;
                  const bool isComplete = aReply.end_ == HttpEnd::Complete;
                  if (isComplete && aReply.status_ == 200) {
                    reply.body_ = std::move(aReply.body_);
                  }
                  reply.isOk_ = isComplete && (aReply.status_ == 200 ||
                                               aReply.status_ == 404);
                  aOnReply(std::move(reply));
                });
}

void
S3ObjectStore::List(const std::string& aPrefix,
                    std::function<void(ListReply)> aOnReply)
{
  auto listing = std::make_shared<Listing>();
  listing->prefix_ = aPrefix;
  listing->onReply_ = std::move(aOnReply);
  ListPage(listing);
}

void
S3ObjectStore::ListPage(std::shared_ptr<Listing> aListing)
{
  std::string target = "?list-type=2&prefix=" + aListing->prefix_;
  if (!aListing->reply_.names_.empty()) {
    target += "&start-after=" + aListing->reply_.names_.back();
  }
  client_.Fetch(
    MakeRequest(HttpMethod::Get, target),
    [this, aListing](HttpClientReply aReply) {
      if (aReply.end_ != HttpEnd::Complete || aReply.status_ != 200) {
        aListing->onReply_({});
        return;
      }
      const std::vector<std::string> keys = ParseKeys(aReply.body_);
      auto& names = aListing->reply_.names_;
      names.insert(names.end(), keys.begin(), keys.end());
      const bool hasMore =
        aReply.body_.find("<IsTruncated>true") != std::string::npos;
      if (hasMore && !keys.empty() && ++aListing->pages_ < kMaxListPages) {
        ListPage(aListing);
        return;
      }
      aListing->reply_.isOk_ = !hasMore;
      aListing->onReply_(std::move(aListing->reply_));
    });
}

} // namespace sycamoreward
