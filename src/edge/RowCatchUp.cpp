#include "edge/RowCatchUp.h"

#include "edge/ReportTimes.h"
#include "runtime/EventLoop.h"

#include <utility>

namespace sycamoreward::edge {

namespace {

// Time that the own call to the store gets to bring a change which another
// instance already has. Calls that wait are answered together within some tens
// of milliseconds, and the next one follows after at most 150 ms.
constexpr Duration kStoreLead = std::chrono::milliseconds(250);

} // namespace

RowCatchUp::RowCatchUp(EventLoop& aLoop,
                       PeerNetwork& aNetwork,
                       const RowRelay& aRelay)
  : loop_(aLoop)
  , network_(aNetwork)
  , relay_(aRelay)
{
}

RowCatchUp::~RowCatchUp()
{
  loop_.CancelTimer(timer_);
}

void
RowCatchUp::Schedule(Duration aDelay)
{
  loop_.CancelTimer(timer_);
  timer_ = loop_.CallAfter(aDelay, [this] {
    timer_ = 0;
    RequestFromNextSource();
  });
}

void
RowCatchUp::OnReports(const PeerIdentity& aFrom, const Reports& aReports)
{
  if (!relay_.isBehind_ || !relay_.isBehind_(aReports)) {
    return;
  }
  Source& source = sources_[aFrom.instance_];
  source.identity_ = aFrom;
  source.changes_.changeVersions_ = aReports.changeVersions_;
  source.changes_.changeEras_ = aReports.changeEras_;
  if (isRequesting_) {
    return;
  }
  if (relay_.isStoreUnreachable_()) {
    Schedule(Duration(0));
  } else if (timer_ == 0) {
    Schedule(kStoreLead);
  }
}

void
RowCatchUp::RequestFromNextSource()
{
  while (!sources_.empty() &&
         !relay_.isBehind_(sources_.begin()->second.changes_)) {
    sources_.erase(sources_.begin());
  }
  if (sources_.empty()) {
    return;
  }
  // A source that can't help is asked again only after its next report.
  const PeerIdentity identity = sources_.begin()->second.identity_;
  sources_.erase(sources_.begin());
  Reports request;
  request.wantsDigest_ = true;
  relay_.addVersions_(request);
  isRequesting_ = true;
  network_.Call(identity,
                std::move(request),
                kDigestTimeout,
                [this](const PeerReply& aReply) {
                  isRequesting_ = false;
                  if (aReply.message_.has_value() &&
                      std::holds_alternative<Digest>(*aReply.message_)) {
                    relay_.apply_(std::get<Digest>(*aReply.message_));
                  }
                  RequestFromNextSource();
                });
}

} // namespace sycamoreward::edge
