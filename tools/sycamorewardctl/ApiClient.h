#pragma once

// Blocking calls to the APIs of the entry instances, for the command line.

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

// The API replied with an error.
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

class ApiClient
{
public:
  // aToken may be empty. Throws UserError when aServers is empty.
  ApiClient(std::vector<Address> aServers, std::string aToken);

  // Sends one request. The next server is tried when none of its bytes can have
  // arrived, and for GET whenever the reply is not complete. Throws
  // InternalError when no server gave a reply, or when it is open whether a
  // change took effect.
  ApiReply Call(HttpMethod aMethod,
                const std::string& aTarget,
                const std::string& aBody = "");

  // The same; throws ApiError for a status other than 2xx.
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

  // Reads a stream of lines until it ends or aOnLine returns false. Goes to the
  // next server at the next call when the stream did not end whole.
  StreamEnd Stream(const std::string& aTarget,
                   const std::function<bool(const std::string&)>& aOnLine);

  // Lets aTime pass.
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

// Path of a resource, or of a kind when aName is empty.
std::string
ResourceTarget(ResourceKind aKind, const std::string& aName = "");

// aText with all but unreserved characters percent-encoded.
std::string
EncodePathSegment(const std::string& aText);

} // namespace sycamoreward
