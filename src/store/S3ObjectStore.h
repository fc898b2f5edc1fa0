#pragma once

// Client of the platform's object store, which uses a subset of the S3 REST
// API.

#include "store/DynamoTable.h"
#include "store/Table.h"

namespace sycamoreward {

// Objects are stored at {pathPrefix}/{bucket}/{name}. Names consist of letters,
// digits and "-._/", so they need no escaping.
class S3ObjectStore final : public ObjectStore
{
public:
  S3ObjectStore(HttpClient& aClient,
                StoreOptions aOptions,
                std::string aPathPrefix = "/objects");

  void PutNew(const std::string& aName,
              const std::string& aBody,
              std::function<void(WriteResult)> aOnResult) override;
  void Get(const std::string& aName,
           std::function<void(GetReply)> aOnReply) override;
  // Reads at most kMaxListPages pages; a longer list is reported as failed.
  void List(const std::string& aPrefix,
            std::function<void(ListReply)> aOnReply) override;

  static constexpr unsigned kMaxListPages = 1000;

private:
  // State of one List call.
  struct Listing
  {
    std::string prefix_;
    unsigned pages_ = 0;
    ListReply reply_;
    std::function<void(ListReply)> onReply_;
  };
  void ListPage(std::shared_ptr<Listing> aListing);
  HttpClientRequest MakeRequest(HttpMethod aMethod,
                                const std::string& aTarget) const;

  HttpClient& client_;
  StoreOptions options_;
  std::string pathPrefix_;
};

} // namespace sycamoreward
