#pragma once

// Finds out whether a server whose connection broke has crashed, and records
// the requests that were running on it.

#include "edge/BackendServer.h"
#include "edge/ChannelPool.h"
#include "edge/CrashRecord.h"
#include "edge/DecisionLog.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sycamoreward::http {
class Channel;
} // namespace sycamoreward::http

namespace sycamoreward::edge {

class CrashDetector
{
public:
  CrashDetector(EventLoop& aLoop,
                const ChannelPool& aChannels,
                DecisionLog& aLog);
  ~CrashDetector();
  CrashDetector(const CrashDetector&) = delete;
  CrashDetector& operator=(const CrashDetector&) = delete;

  // Sets the callback for crashes and answers that the other instances should
  // know soon.
  void OnNews(std::function<void()> aCallback)
  {
    onNews_ = std::move(aCallback);
  }

  // Counts a request that is sent to aServer. aRun identifies it at this
  // instance.
  void AddRun(const BackendServer& aServer,
              std::uint64_t aRun,
              const std::vector<Fingerprint>& aFingerprints);
  // The request no longer runs. With aIsLost its connection broke before the
  // answer was complete.
  void RemoveRun(std::uint64_t aRun, bool aIsLost);
  // A request was answered completely.
  void RecordAnswer(const std::vector<Fingerprint>& aFingerprints);
  // Adds a crash that another instance has reported. Requests that were
  // answered here in the meantime clear their fingerprints.
  void AddReported(const Crash& aCrash);
  // Returns whether a server to which a connection broke has crashed, as far as
  // is known.
  bool MayHaveCrashed(const ServerId& aServer, Incarnation aIncarnation) const;

  // Crashes of servers, and fingerprints that are refused for them.
  CrashRecord record_;

private:
  struct Run
  {
    ServerId server_;
    Incarnation incarnation_;
    Address address_;
    std::vector<Fingerprint> fingerprints_;
    MonotonicTime sent_;
  };
  // A server that may have crashed, and the attempt to connect to it.
  struct Probe
  {
    Crash crash_;
    Address address_;
    // The server had open connections after the first one broke.
    bool wasInUse_ = false;
    std::shared_ptr<http::Channel> channel_;
    std::uint64_t timer_ = 0;
  };

  // Forgets the answers that are too old or too many.
  void TrimAnswers();
  void RecordLost(const Run& aRun);
  bool IsInUse(const ServerId& aServer) const;
  void CheckUse(const std::shared_ptr<Probe>& aProbe, int aChecksLeft);
  void Connect(const std::shared_ptr<Probe>& aProbe);
  void EndProbe(const std::shared_ptr<Probe>& aProbe, bool aHasCrashed);

  EventLoop& loop_;
  const ChannelPool& channels_;
  DecisionLog& log_;
  std::function<void()> onNews_;
  std::map<std::uint64_t, Run> runs_;
  // When a request with the fingerprint was last answered completely, for those
  // of the last time, and the answers in their order.
  std::map<Fingerprint, MonotonicTime> lastAnswers_;
  std::deque<std::pair<MonotonicTime, Fingerprint>> answers_;
  std::map<ServerId, std::shared_ptr<Probe>> probes_;
};

} // namespace sycamoreward::edge
