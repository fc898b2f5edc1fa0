#pragma once

// A deployment of six entry instances in three failure domains, with an
// interruptible link to the platform for each failure domain and a monitor of
// the revisions of all instances.

#include "support/CuttableLink.h"
#include "support/Deployment.h"
#include "support/RevisionMonitor.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace sycamoreward {

constexpr unsigned kFixtureEntries = 6;

struct ControlFixture
{
  explicit ControlFixture(DeploymentOptions aOptions = {})
  {
    aOptions.entries_ = kFixtureEntries;
    aOptions.linkFor_ =
      [this](EventLoop& aLoop, const Address& aPlatform, unsigned aEntry) {
        auto& link = links_[aEntry % 3];
        if (link == nullptr) {
          link = std::make_unique<CuttableLink>(aLoop, aPlatform);
        }
        return link->ListenAddress();
      };
    deployment_ = std::make_unique<Deployment>(aOptions);
    monitor_ = std::make_unique<RevisionMonitor>(*deployment_);
  }
  ~ControlFixture()
  {
    cr_expect(
      monitor_->Violations().empty(), "%s", monitor_->Violations().c_str());
    monitor_.reset();
    // The links use the event loop of the deployment.
    links_.clear();
  }

  // Sends a request to the operators' API of an entry instance and returns
  // without waiting for the reply.
  void Start(unsigned aEntry,
             HttpMethod aMethod,
             const std::string& aTarget,
             const nlohmann::json& aBody,
             std::function<void(HttpClientReply)> aOnReply)
  {
    HttpClientRequest request;
    request.address_ = deployment_->OperatorAddress(aEntry);
    request.method_ = aMethod;
    request.target_ = aTarget;
    request.headers_ = { { "Authorization",
                           std::string("Bearer ") + kOperatorToken } };
    request.body_ = aBody.is_null() ? "" : aBody.dump();
    deployment_->Client().Fetch(request, std::move(aOnReply));
  }

  HttpClientReply Call(unsigned aEntry,
                       HttpMethod aMethod,
                       const std::string& aTarget,
                       const nlohmann::json& aBody = nullptr)
  {
    std::optional<HttpClientReply> reply;
    Start(aEntry, aMethod, aTarget, aBody, [&](HttpClientReply aReply) {
      reply = std::move(aReply);
    });
    cr_assert(Wait([&] { return reply.has_value(); }));
    return *reply;
  }

  nlohmann::json Read(unsigned aEntry, const std::string& aTarget)
  {
    return nlohmann::json::parse(Call(aEntry, HttpMethod::Get, aTarget).body_);
  }

  bool Wait(const std::function<bool()>& aDone, int aSeconds = 30)
  {
    return deployment_->WaitFor(aDone, aSeconds);
  }

  // Changes the share of a workspace. Returns the revision of the change.
  std::uint64_t Change(unsigned aEntry, unsigned aShare)
  {
    nlohmann::json workspace = Read(aEntry, "/apis/v1/Workspace/lab");
    workspace["spec"]["share"] = aShare;
    const auto reply =
      Call(aEntry, HttpMethod::Put, "/apis/v1/Workspace/lab", workspace);
    cr_assert_eq(reply.status_, 200, "%s", reply.body_.c_str());
    return RevisionIn(reply);
  }

  // Returns the revision in the reply to a change.
  static std::uint64_t RevisionIn(const HttpClientReply& aReply)
  {
    const auto document = nlohmann::json::parse(aReply.body_);
    const std::string version = document["metadata"]["resourceVersion"];
    return std::stoull(version);
  }

  bool AllHave(const std::set<unsigned>& aEntries,
               std::uint64_t aRevision) const
  {
    return std::all_of(aEntries.begin(), aEntries.end(), [&](unsigned aEntry) {
      return monitor_->Revision(aEntry) >= aRevision;
    });
  }

  void Kill(unsigned aEntry)
  {
    deployment_->Entry(aEntry).Kill();
    monitor_->OnStopped(aEntry);
  }
  void Restart(unsigned aEntry)
  {
    deployment_->StartEntry(aEntry);
    monitor_->OnRestarted(aEntry);
  }

  std::map<unsigned, std::unique_ptr<CuttableLink>> links_;
  std::unique_ptr<Deployment> deployment_;
  std::unique_ptr<RevisionMonitor> monitor_;
};

} // namespace sycamoreward
