#pragma once

// Stand-in for a backend server on the platform. Answers requests with a body
// that depends on the request, as an event stream or a single reply, records
// the requests that it ran, and injects faults.

#include "base/Address.h"
#include "base/Clock.h"
#include "http/CallerServer.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sycamoreward::standin {

enum class BackendFault
{
  None,
  // Refuses the request and reports that it was not run.
  NotRun,
  // Runs the request and closes the connection before the answer.
  CutBefore,
  // Closes the connection in the middle of the answer.
  CutWithin,
  // Ends a stream in order in the middle of an event.
  EndWithin,
  // Ends a stream in order before its first event.
  EndBefore,
  // Runs the request and never answers.
  Silent,
  // Answers with 500.
  Error,
  // Runs the request and answers with 404 and a chunked body.
  NotFound,
  // Replies that the address belongs to another server.
  OtherServer
};

struct BackendOptions
{
  std::string id_;
  std::string service_;
  std::string domain_;
  // Number of events in a streamed answer; 0 sends a single reply instead.
  int events_ = 0;
  Duration firstDelay_ = std::chrono::milliseconds(2);
  Duration eventDelay_ = std::chrono::milliseconds(2);
};

// One execution of a request at the server.
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
  // Listens on an ephemeral port.
  BackendStandIn(EventLoop& aLoop, BackendOptions aOptions);
  ~BackendStandIn();
  BackendStandIn(const BackendStandIn&) = delete;
  BackendStandIn& operator=(const BackendStandIn&) = delete;

  Address BoundAddress() const { return address_; }
  bool IsRunning() const { return server_ != nullptr; }
  const BackendOptions& Options() const { return options_; }
  // Returns the server's entry in the platform's list, with state aState.
  std::string Entry(const char* aState) const;

  // Returns the complete body of the answer to a request.
  static std::string AnswerBody(const std::string& aRequest,
                                int aEvents,
                                const std::string& aLineEnd = "\n");

  BackendFault fault_ = BackendFault::None;
  // The fault applies to this number of requests; below 0, to all.
  int faultCount_ = -1;
  // Framing of streams.
  http::BodyEnd framing_ = http::BodyEnd::Chunked;
  // Time until an answer begins, as in the options at first.
  Duration firstDelay_;
  // End of each line of a stream.
  std::string lineEnd_ = "\n";
  // The rate limit that answers name, as text; none if empty.
  std::string limit_;
  // The value of the field in all answers that tells that the server leaves;
  // no field if empty.
  std::string leaving_;
  // Requests whose prompt has this part, or which have this body, crash the
  // server after the head of their answer; none if empty.
  std::string crashPart_;
  std::string crashBody_;
  // Time until a crashed server runs again, as another process at the same
  // address.
  Duration restartDelay_ = std::chrono::milliseconds(1500);
  std::function<void()> onCrashed_;
  std::function<void()> onRestarted_;
  std::vector<MonotonicTime> crashes_;
  std::vector<BackendRun> runs_;
  // When each request arrived, whether it ran or not.
  std::vector<MonotonicTime> arrivals_;

private:
  void Handle(const std::shared_ptr<http::CallerExchange>& aExchange);
  BackendFault ConsumeFault();
  // The text of a stream that begins with event aFirst, up to where aFault ends
  // it in order.
  std::string StreamText(const std::string& aRequest,
                         int aFirst,
                         BackendFault aFault) const;
  void Run(const std::shared_ptr<http::CallerExchange>& aExchange,
           BackendFault aFault);
  void SendEvent(const std::shared_ptr<http::CallerExchange>& aExchange,
                 std::size_t aRun,
                 int aNext,
                 BackendFault aFault);
  // Whether the request crashes the server.
  bool IsCrashing(const http::CallerExchange& aExchange) const;
  void Crash();
  void Listen(const Address& aAddress);
  // Adds the fields that tell of the state of the server to the head of an
  // answer.
  void AddState(http::ResponseHead& aHead) const;
  void AnswerFailure(http::CallerExchange& aExchange, int aStatus, bool aIsRun);
  void AnswerNotFound(http::CallerExchange& aExchange);

  EventLoop& loop_;
  BackendOptions options_;
  Address address_;
  std::uint64_t incarnation_ = 1000;
  // Null after a crash.
  std::unique_ptr<http::CallerServer> server_;
  std::uint64_t restartTimer_ = 0;
};

} // namespace sycamoreward::standin
