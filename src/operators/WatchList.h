#pragma once

// Streams changes to open watches: each change of a kind as one line with a
// JSON event, with bookmarks in between.

#include "configuration/ConfigurationTask.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpServer.h"

#include <memory>
#include <vector>

namespace sycamoreward {

class WatchList
{
public:
  WatchList(EventLoop& aLoop, ConfigurationTask& aConfiguration);
  ~WatchList();
  WatchList(const WatchList&) = delete;
  WatchList& operator=(const WatchList&) = delete;

  // Starts a watch of the changes of aKind after aAfter. Replies with 410 when
  // these changes are no longer kept, and with 429 when too many watches are
  // open.
  void Add(const std::shared_ptr<HttpExchange>& aExchange,
           ResourceKind aKind,
           Revision aAfter);

private:
  struct Watch
  {
    std::shared_ptr<HttpExchange> exchange_;
    ResourceKind kind_ = ResourceKind::Service;
    // Last revision whose changes have been sent.
    Revision sent_;
  };

  void SendChanges();
  void SendBookmarks();
  // Sends the pending changes. Returns false when the watch has ended.
  bool Send(Watch& aWatch) const;

  EventLoop& loop_;
  ConfigurationTask& configuration_;
  std::vector<Watch> watches_;
  EventLoop::TimerId timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace sycamoreward
