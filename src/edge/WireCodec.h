#pragma once

// The header fields of requests and answers, as decoded and encoded by a
// platform adapter.

#include "base/Clock.h"
#include "base/Ids.h"
#include "base/Units.h"
#include "edge/BackendServer.h"
#include "http/Head.h"

#include <optional>
#include <string>
#include <vector>

namespace sycamoreward::edge {

// A part of a prompt that several requests may share.
struct PromptPart
{
  std::uint64_t id_ = 0;
  std::uint32_t tokens_ = 0;
};

// The fields of a caller's request.
struct CallerRequest
{
  RequestId id_;
  std::string host_;
  std::string key_;
  // How long the caller waits for the answer.
  std::optional<Duration> timeout_;
  std::uint64_t promptTokens_ = 0;
  std::uint64_t outputTokens_ = 0;
  bool hasTokens_ = false;
  std::vector<PromptPart> parts_;
  // The caller has received events of the stream before and asks for the rest.
  bool isResumption_ = false;
};

// The fields that an entry instance adds to a request for a backend server.
struct ServerRequest
{
  Duration timeout_{ 0 };
  // The intended server. Any other server refuses the request.
  ServerId expected_;
  std::optional<WorkspaceId> workspace_;
  std::optional<int> priority_;
  // Id of the last event that the caller received, when a stream is resumed.
  std::optional<std::string> lastEvent_;
};

// The fields of a backend server's answer.
struct ServerAnswer
{
  // The request that the answer is for; empty if the server does not send it.
  RequestId id_;
  // The server states that it has not run the request.
  bool isNotRun_ = false;
  // The server that answered; empty if it does not say so.
  ServerId server_;
  // The answer is one to a request that expects another server.
  bool isOtherServer_ = false;
  std::optional<ReportedLoad> load_;
  // The rate of requests that the server takes from all instances together.
  std::optional<RequestRate> limit_;
  // The server names a limit that can't be read.
  bool hasMalformedLimit_ = false;
  // The server leaves and takes no requests that are sent from now on.
  bool isLeaving_ = false;
  // The field that says so has a value that is not known.
  bool hasMalformedLeaving_ = false;
};

// The functions that a platform adapter provides.
struct WireCodec
{
  // Throws UserError when a field is malformed.
  CallerRequest (*decodeRequest_)(const http::RequestHead& aHead);
  // Removes fields that only the system may set and adds aFields.
  void (*encodeRequest_)(http::RequestHead& aHead,
                         const ServerRequest& aFields);
  ServerAnswer (*decodeAnswer_)(const http::ResponseHead& aHead,
                                MonotonicTime aNow);
  // Adds the time after which a refused caller may retry.
  void (*encodeRetryAfter_)(http::ResponseHead& aHead, Duration aDelay);
};

} // namespace sycamoreward::edge
