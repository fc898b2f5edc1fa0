#pragma once

// Stand-in for the platform in tests and the demo. Provides the table, object
// store, instance list, reclaim notices, instance starts, prices and weight
// store. Faults are injected over HTTP (POST /faults).

#include "base/Address.h"
#include "platform/InstanceList.h"
#include "platform/TableStore.h"
#include "runtime/HttpServer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace sycamoreward {

class EventLoop;

}

namespace sycamoreward::platform {

struct PlatformOptions
{
  Duration listLag_{ 0 };
  // Total bandwidth of the weight store, shared by all readers.
  std::uint64_t weightBytesPerSecond_ = 64 * 1024 * 1024;
};

struct PlatformFaults
{
  // Closes each connection to the table and the object store without a reply.
  bool isStoreDown_ = false;
  Duration storeDelay_{ 0 };
  // Number of table writes to apply without sending the reply.
  unsigned loseWriteReplies_ = 0;
  bool refuseStarts_ = false;
  // Maximum number of table writes per second; 0 means unlimited.
  unsigned writesPerSecond_ = 0;
};

struct PlatformCounters
{
  std::uint64_t tableWrites_ = 0;
  std::uint64_t tableReads_ = 0;
  std::uint64_t throttled_ = 0;
};

class PlatformStandIn
{
public:
  PlatformStandIn(EventLoop& aLoop,
                  PlatformOptions aOptions,
                  const Address& aListen);
  ~PlatformStandIn();
  PlatformStandIn(const PlatformStandIn&) = delete;
  PlatformStandIn& operator=(const PlatformStandIn&) = delete;

  const Address& BoundAddress() const { return server_.BoundAddress(); }

  // Tests in the same process may change the faults at any time.
  PlatformFaults& Faults() { return faults_; }
  const PlatformCounters& Counters() const { return counters_; }
  InstanceList& Instances() { return instances_; }

private:
  using Exchange = std::shared_ptr<HttpExchange>;

  void Serve(const Exchange& aExchange);
  void ServeStore(const Exchange& aExchange);
  void ServeTable(const Exchange& aExchange);
  void ServeObjects(const Exchange& aExchange);
  void ListObjects(const Exchange& aExchange, const std::string& aBucket);
  void ServeInstances(const Exchange& aExchange);
  void ServeStart(const Exchange& aExchange);
  void ServeNotice(const Exchange& aExchange);
  void ServeWeights(const Exchange& aExchange);
  void SendWeights(const Exchange& aExchange, std::uint64_t aRemainingBytes);
  void ServePrices(const Exchange& aExchange);
  void SetFaults(const Exchange& aExchange);
  void ReplyCounters(const Exchange& aExchange);
  bool AllowWrite();

  EventLoop& loop_;
  PlatformOptions options_;
  PlatformFaults faults_;
  PlatformCounters counters_;
  TableStore table_;
  InstanceList instances_;
  // Contents of the objects, by "bucket/key".
  std::map<std::string, std::string> objects_;
  std::map<std::string, std::string> notices_;
  std::map<std::string, std::uint64_t> weights_;
  nlohmann::json prices_;
  std::uint64_t nextStart_ = 1;
  MonotonicTime writeWindow_{};
  unsigned writesInWindow_ = 0;
  // When the weight store has the bandwidth to send the next chunk.
  MonotonicTime weightsAvailableAt_{};
  // Checked by deferred callbacks, which can outlive this object.
  std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
  HttpServer server_;
};

} // namespace sycamoreward::platform
