#pragma once

// What the status of an answer tells a caller about the run of its request.

namespace sycamoreward::http {

constexpr int kBadGateway = 502;

// Returns whether callers take aStatus, from an instance or a server, as a
// promise that the request has not run and never will.
constexpr bool
PromisesNoRun(int aStatus)
{
  constexpr int kRequestTimeout = 408;
  constexpr int kMisdirected = 421;
  constexpr int kTooManyRequests = 429;
  constexpr int kUnavailable = 503;
  return aStatus == kRequestTimeout || aStatus == kMisdirected ||
         aStatus == kTooManyRequests || aStatus == kUnavailable;
}

// Returns the status for the caller of a request that ends with aStatus: 502 in
// place of a promise if the request may have run.
constexpr int
StatusForCaller(int aStatus, bool aMayHaveRun)
{
  return aMayHaveRun && PromisesNoRun(aStatus) ? kBadGateway : aStatus;
}

} // namespace sycamoreward::http
