#include "requests/SilenceProbe.h"

#include "routing/LoadPoller.h"
#include "runtime/HttpClient.h"

namespace sycamoreward {

SilenceAction
DecideSilence(const ProbeResult& aResult, bool aIsStream, unsigned aWaits)
{
  if (!aResult.isAnswered_ || aWaits >= kMaxSilenceWaits) {
    return SilenceAction::EndAttempt;
  }
  const unsigned silentCount =
    aResult.waiting_ + (aIsStream ? 0 : aResult.running_);
  return silentCount > 0 ? SilenceAction::Wait : SilenceAction::EndAttempt;
}

void
ProbeServer(HttpClient& aClient,
            const Address& aServer,
            Duration aTimeout,
            std::function<void(ProbeResult)> aOnResult)
{
  HttpClientRequest request;
  request.address_ = aServer;
  request.target_ = "/load";
  request.connectTimeout_ = aTimeout;
  request.silenceTimeout_ = aTimeout;
  request.mayReuseConnection_ = false;
  aClient.Fetch(
    request, [onResult = std::move(aOnResult)](const HttpClientReply& aReply) {
      ProbeResult result;
      const bool isReply =
        aReply.end_ == HttpEnd::Complete && aReply.status_ == 200;
      if (const auto load = isReply ? ParseLoad(aReply.body_) : std::nullopt) {
        result.isAnswered_ = true;
        result.running_ = load->report_.running_;
        result.waiting_ = load->report_.waiting_;
      }
      onResult(result);
    });
}

} // namespace sycamoreward
