#pragma once

// The operators' API: reads, writes and watches of resources below /apis/v1.

#include "configuration/ConfigurationTask.h"
#include "operators/WatchList.h"
#include "runtime/HttpServer.h"
#include "settings/Settings.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>
#include <vector>

namespace sycamoreward {

class ResourceApi
{
public:
  ResourceApi(EventLoop& aLoop,
              ConfigurationTask& aConfiguration,
              ConfigurationStore& aStore,
              std::vector<OperatorSettings> aOperators);
  ~ResourceApi();
  ResourceApi(const ResourceApi&) = delete;
  ResourceApi& operator=(const ResourceApi&) = delete;

  // Returns whether aPath is below /apis/v1.
  static bool IsApiPath(const std::string& aPath);

  // Handles a request below /apis/v1. The HttpServer must run on the same event
  // loop.
  void Handle(const std::shared_ptr<HttpExchange>& aExchange);

private:
  struct Target
  {
    ResourceKind kind_ = ResourceKind::Service;
    // Empty for the list of all resources of the kind.
    std::string name_;
  };
  using Exchange = std::shared_ptr<HttpExchange>;

  void List(const Exchange& aExchange, const Target& aTarget);
  void Get(const Exchange& aExchange, const Target& aTarget);
  void Put(const Exchange& aExchange, const Target& aTarget);
  void Delete(const Exchange& aExchange, const Target& aTarget);
  void DryRun(const Exchange& aExchange, const CommitRequest& aRequest);
  void Commit(const Exchange& aExchange, const CommitRequest& aRequest);
  void OnCommitted(const Exchange& aExchange,
                   const CommitRequest& aRequest,
                   const CommitResult& aResult);
  // Returns the document of a resource with its status.
  nlohmann::json Document(const Resource& aResource) const;

  ConfigurationTask& configuration_;
  ConfigurationStore& store_;
  std::vector<OperatorSettings> operators_;
  WatchList watches_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sycamoreward
