#pragma once

// Stand-in of a backend server on the platform: answers requests with a body
// that depends on the request, as a stream of events or at once, records what
// it ran, and misbehaves on demand.

#include "base/Address.h"
#include "base/Clock.h"
#include "http/CallerServer.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace sycamoreward::standin {

enum class BackendFault
{
  None,
  // Refuses with the mark that it has not run the request.
  NotRun,
  // Runs the request and cuts the connection before the answer.
  CutBefore,
  // Cuts the connection within the answer.
  CutWithin,
  // Runs the request and never answers.
  Silent,
  // Answers with 500.
  Error,
  // Says that another server has the address.
  OtherServer
};

struct BackendOptions
{
  std::string id_;
  std::string service_;
  std::string domain_;
  // Events of a stream; 0 answers at once.
  int events_ = 0;
  Duration firstDelay_ = std::chrono::milliseconds(2);
  Duration eventDelay_ = std::chrono::milliseconds(2);
};

// One run of a request, as the server saw it.
struct BackendRun
{
  std::string request_;
  std::string workspace_;
  std::string lastEvent_;
  std::string target_;
  std::string body_;
  bool hasKey_ = false;
  bool isEnded_ = false;
};

class BackendStandIn
{
public:
  // Listens on a port that the system picks.
  BackendStandIn(EventLoop& aLoop, BackendOptions aOptions);

  Address BoundAddress() const { return server_->BoundAddress(); }
  const BackendOptions& Options() const { return options_; }
  // Its entry in the platform's list.
  std::string Entry(const char* aState) const;

  // The body of the whole answer to a request.
  static std::string AnswerBody(const std::string& aRequest, int aEvents);

  BackendFault fault_ = BackendFault::None;
  // The fault ends after this number of requests; below 0 it stays.
  int faultCount_ = -1;
  std::vector<BackendRun> runs_;

private:
  void Handle(const std::shared_ptr<http::CallerExchange>& aExchange);
  BackendFault ConsumeFault();
  void Run(const std::shared_ptr<http::CallerExchange>& aExchange,
           BackendFault aFault);
  void SendEvent(const std::shared_ptr<http::CallerExchange>& aExchange,
                 std::size_t aRun,
                 int aNext,
                 BackendFault aFault);
  void AnswerFailure(http::CallerExchange& aExchange, int aStatus, bool aIsRun);

  EventLoop& loop_;
  BackendOptions options_;
  std::unique_ptr<http::CallerServer> server_;
};

} // namespace sycamoreward::standin
