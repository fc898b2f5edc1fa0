#pragma once

// A fake model engine with an HTTP interface, through which faults can be
// injected. Runs in-process in tests and as the program standin-engine.

#include "engine/Batch.h"
#include "engine/EngineOptions.h"
#include "engine/PrefixCache.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpServer.h"

#include <nlohmann/json_fwd.hpp>

#include <deque>
#include <memory>
#include <set>

namespace sycamoreward::standin {

class EngineStandIn
{
public:
  EngineStandIn(EventLoop& aLoop, EngineOptions aOptions, Address aListen);
  ~EngineStandIn();
  EngineStandIn(const EngineStandIn&) = delete;
  EngineStandIn& operator=(const EngineStandIn&) = delete;

  const Address& BoundAddress() const { return address_; }
  const EngineOptions& Options() const { return options_; }
  const EngineCounters& Counters() const { return counters_; }
  const EngineOrders& Orders() const { return orders_; }
  const EngineFaults& Faults() const { return faults_; }

  // Updates the faults present in aFaults, which has the format of
  // POST /faults.
  void SetFaults(const nlohmann::json& aFaults);

  // Closes all connections and stops listening.
  void Crash();

private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;

  struct LoadSnapshot
  {
    MonotonicTime time_{};
    std::size_t running_ = 0;
    std::size_t waiting_ = 0;
    std::uint64_t kvUsed_ = 0;
  };

  void Handle(const ExchangePtr& aExchange);
  void Dispatch(const ExchangePtr& aExchange);
  void HandleCompletion(const ExchangePtr& aExchange);
  void HandleLoad(const ExchangePtr& aExchange);
  void HandleCacheEvents(const ExchangePtr& aExchange);
  void HandleExport(const ExchangePtr& aExchange);
  void HandleImport(const ExchangePtr& aExchange);
  void HandleOrder(const ExchangePtr& aExchange);
  void Refuse(const ExchangePtr& aExchange, int aStatus, const char* aCode);
  void ReplyJson(const ExchangePtr& aExchange,
                 int aStatus,
                 const nlohmann::json& aBody);
  void ReplyAfterTransfer(const ExchangePtr& aExchange,
                          std::uint64_t aBytes,
                          const nlohmann::json& aBody);
  HttpHeaders ReplyHeaders(const char* aContentType) const;
  bool IsAccepting() const;

  void StartStep();
  void FinishStep();
  // Generates the next token of aRun. Returns whether the request is still
  // running.
  bool EmitToken(Run& aRun);
  void Complete(Run& aRun);
  void RecordLoad();
  LoadSnapshot CurrentLoad() const;

  EventLoop& loop_;
  EngineOptions options_;
  EngineFaults faults_;
  EngineCounters counters_;
  EngineOrders orders_;
  PrefixCache cache_;
  Batch batch_;
  std::deque<LoadSnapshot> loadHistory_;
  std::vector<ExchangePtr> suspendedExchanges_;
  MonotonicTime stalledUntil_{};
  EventLoop::TimerId stepTimer_ = 0;
  bool isStepping_ = false;
  std::uint64_t nextArrivalOrder_ = 1;
  Address address_;
  // Checked by callbacks, which can outlive the stand-in.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<HttpServer> server_;
};

} // namespace sycamoreward::standin
