#pragma once

// A fake of a server of a plain service: a register of numbered records, whose
// issue must not be repeated, and look-ups that may be. Runs in-process in
// tests and as the program standin-service.

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

// Records of a service. The servers of one service share a register, as they
// would share a database.
struct RecordStore
{
  struct Entry
  {
    unsigned runs_ = 0;
    // Reply of the first run.
    std::string reply_;
  };
  std::uint64_t nextNumber_ = 1;
  // By X-Request-Id.
  std::map<std::string, Entry> entries_;
  // Calls in progress, by X-Request-Id.
  std::map<std::string, unsigned> inProgress_;
};

struct ServiceOptions
{
  std::string id_ = "service";
  std::string pool_ = "services";
  // Requests handled at once before new ones are refused.
  unsigned slots_ = 16;
  // Time to handle a request.
  Duration workTime_ = std::chrono::milliseconds(2);
};

struct ServiceFaults
{
  Duration delay_{ 0 };
  // Run the request, then cut the connection in place of a reply.
  bool cutsBeforeReply_ = false;
  bool isRefusing_ = false;
  bool isSuspended_ = false;
  bool isLeaving_ = false;
  // As if the process were killed, with its records kept: work in progress is
  // lost and every connection is cut, but for faults and counters.
  bool isDown_ = false;
  // Answer 404 to status questions.
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
  // Without aRecordStore the server has one of its own.
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

  // Sets the faults that aFaults names, in the form of POST /faults.
  void SetFaults(const nlohmann::json& aFaults);

  // Cuts all connections and listens no more.
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
  // Work that began in an earlier life of the server does not run.
  unsigned generation_ = 0;
  std::vector<ExchangePtr> suspendedExchanges_;
  // Requests that a status answer has denied. A call that arrives later is
  // refused, or the denial would become false.
  std::set<std::string> deniedRequests_;
  Address address_;
  // Callbacks check this, for they can outlive the stand-in.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<HttpServer> server_;
};

} // namespace sycamoreward::standin
