#pragma once

// A fake server of a plain service. It issues numbered records, which must not
// be repeated, and answers look-ups, which may be. Runs in-process in tests and
// as the program standin-service.

#include "base/Clock.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpServer.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sycamoreward::standin {

// Records of a service, shared by its servers as they would share a database.
struct RecordStore
{
  struct Entry
  {
    unsigned runs_ = 0;
    // Reply to the first execution of the request.
    std::string reply_;
  };
  std::uint64_t nextNumber_ = 1;
  // By X-Request-Id.
  std::map<std::string, Entry> entries_;
  // Number of calls in progress, by X-Request-Id.
  std::map<std::string, unsigned> inProgress_;
};

// Configuration of a service stand-in.
struct ServiceOptions
{
  std::string id_ = "service";
  std::string pool_ = "services";
  // Maximum number of concurrent requests; further ones are refused.
  unsigned slots_ = 16;
  // Time to handle a request.
  Duration workTime_ = std::chrono::milliseconds(2);
};

// Faults to inject.
struct ServiceFaults
{
  Duration delay_{ 0 };
  // Executes the request, then closes the connection instead of replying.
  bool cutsBeforeReply_ = false;
  bool isRefusing_ = false;
  bool isSuspended_ = false;
  bool isLeaving_ = false;
  // Simulates a killed process whose records survive: work in progress is lost
  // and every connection is closed, except for /faults and /counters.
  bool isDown_ = false;
  // Replies 404 to status requests.
  bool hasNoStatus_ = false;
};

struct ServiceCounters
{
  std::uint64_t records_ = 0;
  std::uint64_t lookups_ = 0;
  std::uint64_t refused_ = 0;
  WallTime lastAccepted_{};
};

class ServiceStandIn
{
public:
  // Creates a record store if aRecordStore is null.
  ServiceStandIn(EventLoop& aLoop,
                 ServiceOptions aOptions,
                 Address aListen,
                 std::shared_ptr<RecordStore> aRecordStore = nullptr);
  ~ServiceStandIn();
  ServiceStandIn(const ServiceStandIn&) = delete;
  ServiceStandIn& operator=(const ServiceStandIn&) = delete;

  const Address& BoundAddress() const { return address_; }
  const ServiceCounters& Counters() const { return counters_; }
  const RecordStore& Records() const { return *recordStore_; }

  // Updates the faults present in aFaults, which has the format of
  // POST /faults.
  void SetFaults(const nlohmann::json& aFaults);

  // Closes all connections and stops listening.
  void Crash();

private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;

  void Handle(const ExchangePtr& aExchange);
  void Dispatch(const ExchangePtr& aExchange);
  void AcceptWork(const ExchangePtr& aExchange);
  void RunWork(const ExchangePtr& aExchange);
  void FinishWork(const std::string& aRequestId);
  std::string IssueRecord(const std::string& aRequestId,
                          const std::string& aBody);
  void HandleStatus(const ExchangePtr& aExchange);
  void HandleLoad(const ExchangePtr& aExchange);
  void HandleCounters(const ExchangePtr& aExchange);
  void Refuse(const ExchangePtr& aExchange, const char* aCode);
  void ReplyText(const ExchangePtr& aExchange,
                 int aStatus,
                 const std::string& aBody);
  bool IsAccepting() const;

  EventLoop& loop_;
  ServiceOptions options_;
  ServiceFaults faults_;
  ServiceCounters counters_;
  std::shared_ptr<RecordStore> recordStore_;
  unsigned running_ = 0;
  // Incremented when the server goes down; work that started in an earlier
  // generation is not executed.
  unsigned generation_ = 0;
  std::vector<ExchangePtr> suspendedExchanges_;
  // Requests that a status reply reported as not executed. Calls for them that
  // arrive later are refused, so that the report stays true.
  std::set<std::string> deniedRequests_;
  Address address_;
  // Checked by callbacks, which can outlive the stand-in.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<HttpServer> server_;
};

} // namespace sycamoreward::standin
