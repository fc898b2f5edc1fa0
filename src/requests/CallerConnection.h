#pragma once

// Streams an answer log to one caller's connection as the log grows.

#include "requests/AnswerLog.h"
#include "requests/ReplyForm.h"
#include "runtime/HttpServer.h"

#include <memory>
#include <optional>

namespace sycamoreward {

// Observes an answer log and writes it to one HTTP exchange.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  // Buffered bytes above which a caller counts as lagging.
  static constexpr std::uint64_t kMaxUnreadBytes = 256 * 1024;

  // Serves aExchange from aLog until either of them ends.
  static void Attach(const std::shared_ptr<HttpExchange>& aExchange,
                     const std::shared_ptr<AnswerLog>& aLog,
                     const ReplyForm& aForm);

  CallerConnection(std::shared_ptr<HttpExchange> aExchange,
                   std::shared_ptr<AnswerLog> aLog,
                   ReplyForm aForm);

private:
  void Begin();
  void Continue();
  void ContinueStream();
  std::string TakeChunk();
  void SendCompleteReply();
  void SendErrorReply();
  void Finish();
  HttpHeaders BaseHeaders(const std::string& aContentType) const;

  std::shared_ptr<HttpExchange> exchange_;
  std::shared_ptr<AnswerLog> log_;
  ReplyForm form_;
  AnswerLog::ObserverId observer_ = 0;
  std::optional<ChunkWriter> writer_;
  std::size_t next_ = 0;
  bool isDone_ = false;
};

} // namespace sycamoreward
