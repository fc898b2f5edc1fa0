#pragma once

// The header fields of requests and answers, as an adapter decodes them.

#include "base/Clock.h"
#include "base/Ids.h"
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

// What a caller says of its request.
struct CallerRequest
{
  RequestId id_;
  std::string host_;
  std::string key_;
  // How long the caller waits.
  std::optional<Duration> timeout_;
  std::uint64_t promptTokens_ = 0;
  std::uint64_t outputTokens_ = 0;
  bool hasTokens_ = false;
  std::vector<PromptPart> parts_;
};

// What an instance adds to a request for a backend server.
struct ServerRequest
{
  Duration timeout_{ 0 };
  // Any other server refuses the request.
  ServerId expected_;
  std::optional<WorkspaceId> workspace_;
  std::optional<int> priority_;
  // Last event that the caller has, when a stream is resumed.
  std::optional<std::string> lastEvent_;
};

// What a backend server says with its answer.
struct ServerAnswer
{
  // The request that the answer is for; empty when the server does not say.
  RequestId id_;
  // The server states that it has not run the request.
  bool isNotRun_ = false;
  // Another server has the address.
  bool isOtherServer_ = false;
  std::optional<ReportedLoad> load_;
};

// The functions of an adapter.
struct WireCodec
{
  // Throws UserError when a field is malformed.
  CallerRequest (*decodeRequest_)(const http::RequestHead& aHead);
  // Removes what only the system may set and adds aFields.
  void (*encodeRequest_)(http::RequestHead& aHead,
                         const ServerRequest& aFields);
  ServerAnswer (*decodeAnswer_)(const http::ResponseHead& aHead,
                                MonotonicTime aNow);
  // Adds the time after which a refused caller may come back.
  void (*encodeRetryAfter_)(http::ResponseHead& aHead, Duration aDelay);
};

} // namespace sycamoreward::edge
