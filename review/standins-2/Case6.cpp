// Case 6: the store is away for a while, and the entries of one service's
// engines lapse meanwhile. The engines live on and write their entries again as
// soon as the store is back. Then the operator adds a route.

#include "World.h"

#include "../../standins/platformapi/Query.h"

#include "../../platform/Base64.h"

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <list>
#include <set>
#include <thread>

using namespace review;
using nlohmann::json;
using sycamoreward::http::CallerExchange;

namespace {

// The site's own entry has 4.5 s.
constexpr double kAwaySeconds = 3.9;
constexpr int kRequests = 40;

// A store whose feed brings all changes of a table in the order in which they
// were made. (The project's stand-in brings the last one of each row.)
class OrderedStore
{
public:
  explicit OrderedStore(EventLoop& aLoop)
    : loop_(aLoop)
    , server_(std::make_unique<sycamoreward::http::CallerServer>(
        aLoop,
        sycamoreward::Address{ "127.0.0.1", 0 },
        [this](const std::shared_ptr<CallerExchange>& aAsked) {
          if (!isSilent_) {
            Handle(aAsked);
          }
        }))
  {
    CheckWatches();
  }

  sycamoreward::Address BoundAddress() const { return server_->BoundAddress(); }

  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue)
  {
    ++version_;
    Change(aTable, aKey, sycamoreward::platform::EncodeBase64(aValue));
  }

  void Remove(const std::string& aTable, const std::string& aKey)
  {
    ++version_;
    Change(aTable, aKey, std::nullopt);
  }

  // While the store is away, calls and watches are not answered at all.
  void SetSilent(bool aIsSilent)
  {
    isSilent_ = aIsSilent;
    watches_.clear();
  }

private:
  struct Watch
  {
    std::shared_ptr<CallerExchange> exchange_;
    std::string table_;
    std::uint64_t since_ = 0;
    double end_ = 0;
  };

  // aValue is base64; empty for a removal.
  void Change(const std::string& aTable,
              const std::string& aKey,
              const std::optional<std::string>& aValue)
  {
    json row{ { "table", aTable },
              { "part", "" },
              { "key", aKey },
              { "schema-version", version_ } };
    if (aValue.has_value()) {
      row["value"] = *aValue;
      rows_[{ aTable, aKey }] = row;
    } else {
      row["deleted"] = true;
      rows_.erase({ aTable, aKey });
    }
    changes_.push_back(row);
  }

  void Answer(CallerExchange& aExchange, int aStatus, json aBody) const
  {
    sycamoreward::http::ResponseHead head;
    head.status_ = aStatus;
    head.reason_ = "Store";
    head.fields_ = { { "Content-Type", "application/json" },
                     { "Store-Era", "1" } };
    aBody["schema-version"] = version_;
    aExchange.Answer(std::move(head), aBody.dump());
  }

  void Handle(const std::shared_ptr<CallerExchange>& aExchange)
  {
    const std::string& target = aExchange->head_.target_;
    const std::string path = target.substr(0, target.find('?'));
    const auto query = sycamoreward::standin::QueryOf(target);
    if (path == "/sycamoreward/rows-get") {
      json rows = json::array();
      for (const auto& [key, row] : rows_) {
        if (key.first == query.at("table")) {
          rows.push_back(row);
        }
      }
      Answer(*aExchange, 200, { { "rows", rows }, { "has-more", false } });
    } else if (path == "/sycamoreward/rows-tx") {
      Write(*aExchange);
    } else {
      watches_.push_back({ aExchange,
                           query.at("table"),
                           std::stoull(query.at("since-revision")),
                           Now() + std::stod(query.at("wait-ms")) / 1000 });
    }
  }

  void Write(CallerExchange& aExchange)
  {
    const json call = json::parse(aExchange.body_);
    json current = json::array();
    bool isAllowed = true;
    for (const json& condition : call.at("expected-revision")) {
      const auto found =
        rows_.find({ condition.at("table"), condition.at("key") });
      const std::uint64_t version =
        found == rows_.end()
          ? 0
          : found->second.at("schema-version").get<std::uint64_t>();
      isAllowed =
        isAllowed &&
        version == condition.at("schema-version").get<std::uint64_t>();
      if (found != rows_.end()) {
        current.push_back(found->second);
      }
    }
    if (!isAllowed) {
      Answer(aExchange, 412, { { "rows", current } });
      return;
    }
    ++version_;
    for (const json& row : call.at("write")) {
      Change(
        row.at("table"), row.at("key"), row.at("value").get<std::string>());
    }
    for (const json& row : call.at("remove")) {
      Change(row.at("table"), row.at("key"), std::nullopt);
    }
    Answer(aExchange, 200, json::object());
  }

  void CheckWatches()
  {
    loop_.CallAfter(std::chrono::milliseconds(10), [this] { CheckWatches(); });
    for (auto watch = watches_.begin(); watch != watches_.end();) {
      json rows = json::array();
      for (const json& change : changes_) {
        if (change.at("table") == watch->table_ &&
            change.at("schema-version").get<std::uint64_t>() > watch->since_) {
          rows.push_back(change);
        }
      }
      if (rows.empty() && Now() < watch->end_) {
        ++watch;
        continue;
      }
      Answer(*watch->exchange_, 200, { { "rows", rows } });
      watch = watches_.erase(watch);
    }
  }

  EventLoop& loop_;
  std::unique_ptr<sycamoreward::http::CallerServer> server_;
  bool isSilent_ = false;
  std::uint64_t version_ = 1;
  std::map<std::pair<std::string, std::string>, json> rows_;
  std::vector<json> changes_;
  std::list<Watch> watches_;
};

// Status of a request of the tenant; 0 for no answer.
int
Ask(const std::string& aPath, const std::string& aRequest, std::uint16_t aPort)
{
  const int channel = Connect(aPort);
  const timeval limit{ 3, 0 };
  setsockopt(channel, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  const std::string text = "GET " + aPath + " HTTP/1.1\r\nHost: " + kHost +
                           "\r\nX-Request-Id: " + aRequest +
                           "\r\nX-Deadline-Ms: 2000\r\nApi-Key: " + kKey +
                           "\r\nConnection: close\r\n\r\n";
  char bytes[2048] = {};
  int status = 0;
  if (channel >= 0 &&
      send(channel, text.data(), text.size(), MSG_NOSIGNAL) > 0 &&
      recv(channel, bytes, sizeof bytes - 1, 0) > 12) {
    status = std::atoi(bytes + 9);
  }
  if (channel >= 0) {
    close(channel);
  }
  Record(
    "caller: %s (%s) answered %d", aRequest.c_str(), aPath.c_str(), status);
  return status;
}

} // namespace

int
main()
{
  World world;
  OrderedStore store(world.loop_);
  world.put_ = [&store](const std::string& aTable,
                        const std::string& aKey,
                        const std::string& aValue) {
    store.Put(aTable, aKey, aValue);
  };
  world.storeAddress_ = store.BoundAddress();
  world.AddEngines("desk", 3);
  world.AddEngines("register", 3);
  const json services = { { { "name", "desk" }, { "max-connections", 96 } },
                          { { "name", "register" },
                            { "max-connections", 96 } } };
  json routes =
    json::array({ Route("/first/", "idempotent", "register", 2000, 2),
                  Route("/desk/", "idempotent", "desk", 2000, 2) });
  world.PutManifest(routes, services);
  world.AddEdges(3);
  if (!world.WaitReady(15)) {
    Record("the instances are not ready");
    return kCouldNotRun;
  }
  world.RunUntil([] { return false; }, 2);
  if (HasTrouble()) {
    Record("the store is away");
    store.SetSilent(true);
    world.RunUntil([] { return false; }, kAwaySeconds - 0.1);
    for (const auto& engine : world.engines_) {
      if (engine->id_.rfind("desk", 0) == 0) {
        store.Remove("servers", engine->id_);
      }
    }
    world.RunUntil([] { return false; }, 0.1);
    Record(
      "the store is back; the entries of the desk's engines had lapsed, and "
      "these write them again at once");
    store.SetSilent(false);
    for (const auto& engine : world.engines_) {
      if (engine->id_.rfind("desk", 0) == 0) {
        store.Put("servers", engine->id_, engine->Entry());
      }
    }
    // An engine of the other service is the last that writes.
    store.Put(
      "servers", world.engines_.back()->id_, world.engines_.back()->Entry());
  }
  // Longer than contact-ms after the store's return and the two seconds in
  // which entries come back.
  world.RunUntil([] { return false; }, 6);
  Record("the operator adds a route");
  routes.push_back(Route("/added/", "idempotent", "desk", 2000, 2));
  world.PutManifest(routes, services, 2);
  world.RunUntil([] { return false; }, 4);
  int first = 0;
  int added = 0;
  std::atomic<bool> isDone{ false };
  std::thread callers([&] {
    for (int number = 0; number < kRequests; ++number) {
      const std::uint16_t port =
        world.edges_[std::size_t(number) % 3]->callers_;
      const std::string name = std::to_string(number);
      first += Ask("/first/300", "first-" + name, port) == 200;
      added += Ask("/added/300", "added-" + name, port) == 200;
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    isDone = true;
  });
  const bool areDone = world.RunUntil([&] { return bool(isDone); }, 80);
  callers.join();
  if (!areDone || first < kRequests / 2) {
    return kCouldNotRun;
  }
  Record("CONFIG: of %d requests each, %d were served on the route that was "
         "added and %d on the first one",
         kRequests,
         added,
         first);
  return added * 4 < first ? kBroken : kHeld;
}
