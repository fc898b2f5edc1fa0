#pragma once

// Test fixture for the request path of an entry instance: fakes for the other
// components, and scripted backend servers, on one loop with a manual clock.

#include "base/Clock.h"
#include "base/Digest.h"
#include "requests/CallerApi.h"
#include "support/FakeLedger.h"
#include "support/FakeScheduler.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamoreward {

class FakeConfiguration final : public ConfigurationSource
{
public:
  std::shared_ptr<const Configuration> Current() const override
  {
    return current_;
  }
  void OnChange(std::function<void()>) override {}
  std::shared_ptr<Configuration> current_ = std::make_shared<Configuration>();
};

class FakeServers final : public ServerList
{
public:
  std::vector<Server> Servers() const override { return servers_; }
  void OnChange(std::function<void()>) override {}
  void ReportLeaving(const ServerId&) override {}
  std::vector<Server> servers_;
};

class FixedMembership final : public Membership
{
public:
  const MemberList& Members() const override { return members_; }
  void OnChange(std::function<void()>) override {}
  MemberList members_;
};

// Peer network within one process, linked by instance id.
class FakePeers final : public PeerNetwork
{
public:
  FakePeers(EventLoop& aLoop, InstanceId aSelf)
    : loop_(aLoop)
  {
    identity_.instance_ = std::move(aSelf);
  }
  void Send(const PeerIdentity& aTo, Message aMessage) override
  {
    Deliver(aTo, std::move(aMessage), [](PeerReply) {});
  }
  void Call(const PeerIdentity& aTo,
            Message aMessage,
            Duration,
            std::function<void(PeerReply)> aOnReply) override
  {
    if (dropsReplies_) {
      Deliver(aTo, std::move(aMessage), [](PeerReply) {});
      loop_.Post([aOnReply] { aOnReply({ std::nullopt, "timeout" }); });
      return;
    }
    Deliver(aTo, std::move(aMessage), aOnReply);
  }
  std::function<void()> OpenStream(
    const PeerIdentity& aTo,
    Message aMessage,
    Duration,
    std::function<void(PeerReply)> aOnReply) override
  {
    auto isOpen = std::make_shared<bool>(true);
    Deliver(aTo, std::move(aMessage), [isOpen, aOnReply](PeerReply aReply) {
      if (*isOpen) {
        aOnReply(std::move(aReply));
      }
    });
    return [isOpen] { *isOpen = false; };
  }
  void ProbeOnNewConnection(const PeerIdentity&,
                            Duration,
                            std::function<void(bool)>) override
  {
  }

  std::map<InstanceId, FakePeers*> links_;
  // Drops replies to calls after the message was delivered.
  bool dropsReplies_ = false;

protected:
  void SetHandler(std::size_t aType, Handler aHandler) override
  {
    handlers_[aType] = std::move(aHandler);
  }

private:
  void Deliver(const PeerIdentity& aTo,
               Message aMessage,
               std::function<void(PeerReply)> aOnReply)
  {
    loop_.Post([this, aTo, message = std::move(aMessage), aOnReply] {
      const auto link = links_.find(aTo.instance_);
      if (link == links_.end() ||
          link->second->handlers_.count(message.index()) == 0) {
        aOnReply({ std::nullopt, "not connected" });
        return;
      }
      const Responder respond = [&loop = loop_, aOnReply](Message aReply) {
        loop.Post([aOnReply, aReply] { aOnReply({ aReply, "" }); });
      };
      link->second->handlers_.at(message.index())(identity_, message, respond);
    });
  }

  EventLoop& loop_;
  PeerIdentity identity_;
  std::map<std::size_t, Handler> handlers_;
};

// What a caller has received of one reply.
struct CallerView
{
  bool isEnded_ = false;
  HttpClientReply reply_;
};

// Clock, loop, clients, ledger and backend servers, shared by the instances of
// a test.
struct RequestTestbed
{
  ManualClock clock_;
  EventLoop loop_{ clock_ };
  HttpClient client_{ loop_ };
  HttpClient callerClient_{ loop_ };
  FakeLedger ledger_{ loop_ };
  std::vector<std::unique_ptr<HttpServer>> backends_;
  std::vector<Server> servers_;

  // Starts a backend server and returns its address.
  Address AddBackend(const std::string& aId, HttpServer::Handler aHandler);
  // Adds a server at whose address nothing listens.
  void AddDeadBackend(const std::string& aId);
  // Runs the loop until aDone returns true; fails the test after a timeout.
  void RunLoopUntil(const std::function<bool()>& aDone);
  // Runs the loop until aDone returns true, advancing the clock in steps of 50
  // ms.
  void AdvanceClockUntil(const std::function<bool()>& aDone);
};

// One entry instance with its callers' API.
struct RequestFixture
{
  // Configures the services "model" (repeatable), "desk" (unrepeatable, with a
  // status path), "bare" (unrepeatable, without one) and "look" (repeatable,
  // plain), and the tokens "token-a" of workspace a and "token-b" of workspace
  // b, which may call "look" only.
  RequestFixture(RequestTestbed& aTestbed, const std::string& aInstance);

  // Sends a request to the instance. Fetch also waits for the end of the reply.
  std::shared_ptr<CallerView> Send(HttpMethod aMethod,
                                   const std::string& aTarget,
                                   const std::string& aBody,
                                   const std::string& aKey = "",
                                   const std::string& aToken = "token-a");
  HttpClientReply Fetch(HttpMethod aMethod,
                        const std::string& aTarget,
                        const std::string& aBody,
                        const std::string& aKey = "",
                        const std::string& aToken = "token-a");

  RequestTestbed& testbed_;
  FakeConfiguration configuration_;
  FakeServers servers_;
  FixedMembership membership_;
  FakePeers peers_;
  FakeScheduler scheduler_;
  CallerApi api_;
  HttpServer callerServer_;
  std::shared_ptr<HttpCall> lastCall_;
};

// Links fixtures as live members, each in its own failure domain.
void
LinkFixtures(const std::vector<RequestFixture*>& aFixtures);

// Returns the body of a completions request to "model".
std::string
CompletionBody(bool aIsStream);

// Return the event of one token of an engine's stream, and the events that end
// it.
std::string
TokenEvent(unsigned aAttempt, std::size_t aIndex, const std::string& aText);
std::string
EndEvents(unsigned aAttempt, std::size_t aCount);

// Returns the concatenated text of all chunks of a caller's stream.
std::string
StreamText(const std::string& aBody);

} // namespace sycamoreward
