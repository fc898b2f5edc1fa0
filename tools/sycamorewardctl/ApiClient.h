#pragma once

// Blocking HTTP client of the entry instances' APIs, for the command line.

#include "base/Error.h"
#include "configuration/ResourceJson.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace sycamoreward {

struct ApiReply
{
  int status_ = 0;
  nlohmann::json body_;
  Address server_;
};

// An error reply of the API, with its status and the faults of single fields.
class ApiError : public UserError
{
public:
  ApiError(const std::string& aStep, const ApiReply& aReply);

  int Status() const { return status_; }
  const std::vector<FieldError>& Details() const { return details_; }

private:
  int status_;
  std::vector<FieldError> details_;
};

// Sends requests to one of several servers and runs its event loop until the
// reply arrives.
class ApiClient
{
public:
  // aToken may be empty. Throws UserError when aServers is empty.
  ApiClient(std::vector<Address> aServers, std::string aToken);

  // Sends one request. Retries at the next server when no connection was made,
  // so that none of the request can have arrived, and for GET whenever the
  // reply is incomplete. Throws InternalError when no server replied, or when
  // it is unknown whether a change took effect.
  ApiReply Call(HttpMethod aMethod,
                const std::string& aTarget,
                const std::string& aBody = "");

  // Like Call, but throws ApiError for a status other than 2xx and
  // InternalError when the reply to a GET is not JSON.
  nlohmann::json CallOrThrow(HttpMethod aMethod,
                             const std::string& aTarget,
                             const std::string& aBody = "");

  // How a stream ended.
  struct StreamEnd
  {
    int status_ = 0;
    HttpEnd end_ = HttpEnd::NotConnected;
    // Body of a reply whose status is not 200.
    std::string error_;
  };

  // Reads a stream of lines until it ends or aOnLine returns false. Unless the
  // stream ended completely, the next call goes to the next server.
  StreamEnd Stream(const std::string& aTarget,
                   const std::function<bool(const std::string&)>& aOnLine);

  // Blocks for aTime while the event loop runs.
  void RunLoopFor(Duration aTime);

private:
  HttpClientRequest MakeRequest(HttpMethod aMethod,
                                const std::string& aTarget,
                                const std::string& aBody) const;
  HttpClientReply Fetch(const HttpClientRequest& aRequest);

  std::vector<Address> servers_;
  std::string token_;
  std::size_t currentServer_ = 0;
  SystemClock clock_;
  EventLoop loop_{ clock_ };
  HttpClient client_{ loop_ };
};

// Path of a resource, or of all resources of the kind when aName is empty.
std::string
ResourceTarget(ResourceKind aKind, const std::string& aName = "");

// Percent-encodes all but the unreserved characters of aText.
std::string
EncodePathSegment(const std::string& aText);

} // namespace sycamoreward
