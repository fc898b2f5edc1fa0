#include "support/Crowd.h"

#include "peer/SocketAddress.h"

#include "runtime/EventLoop.h"
#include "support/RawConnection.h"

#include <criterion/criterion.h>
#include <criterion/logging.h>

#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace sycamoreward {

namespace {

// Ends a crowd that an instance stops reading.
constexpr std::chrono::seconds kCrowdTimeout{ 60 };
// An instance need not read all that a crowd sends.
constexpr std::chrono::seconds kReadTimeout{ 15 };
// Largest part of the script that is passed to the system at once.
constexpr std::size_t kSendStep = 256 * 1024;
// Receive buffer of a client that does not read, in bytes.
constexpr int kUnreadBuffer = 4096;
// Bytes kept of what a client receives.
constexpr std::size_t kKeptBytes = 64;

// Lets this process open as many descriptors as the system allows it.
void
RaiseDescriptorLimit()
{
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

// Whether the last call on a socket failed only because it would have waited.
bool
WouldWait()
{
  return errno == EAGAIN || errno == ENOTCONN || errno == EINTR;
}

} // namespace

Crowd::Crowd(const Address& aAddress,
             std::size_t aClients,
             CrowdScript aScript,
             Reading aReading)
  : port_(aAddress.port_)
  , script_(std::move(aScript))
  , reading_(aReading)
  , clients_(aClients)
{
  RaiseDescriptorLimit();
  sockaddr_storage storage{};
  const socklen_t length = FillSocketAddress(aAddress, storage);
  for (Client& client : clients_) {
    client.socket_ =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (reading_ == Reading::Never) {
      // Otherwise the systems of both sides would hold megabytes of answers.
      setsockopt(client.socket_,
                 SOL_SOCKET,
                 SO_RCVBUF,
                 &kUnreadBuffer,
                 sizeof kUnreadBuffer);
    }
    const int result =
      connect(client.socket_, reinterpret_cast<sockaddr*>(&storage), length);
    client.isOpen_ = result == 0 || errno == EINPROGRESS;
  }
}

Crowd::~Crowd()
{
  for (const Client& client : clients_) {
    close(client.socket_);
  }
}

std::size_t
Crowd::ScriptSize() const
{
  return script_.start_.size() + script_.piece_.size() * script_.pieces_;
}

void
Crowd::SendSome(Client& aClient)
{
  while (aClient.isOpen_ && aClient.sent_ < ScriptSize()) {
    std::string bytes;
    if (aClient.sent_ < script_.start_.size()) {
      bytes = script_.start_.substr(aClient.sent_);
    } else {
      const std::size_t offset = aClient.sent_ - script_.start_.size();
      bytes = script_.piece_.substr(offset % script_.piece_.size());
    }
    while (bytes.size() < kSendStep &&
           aClient.sent_ + bytes.size() < ScriptSize()) {
      bytes += script_.piece_;
    }
    const ssize_t count =
      send(aClient.socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count > 0) {
      aClient.sent_ += std::size_t(count);
      continue;
    }
    if (count == 0 || !WouldWait()) {
      // The answer can arrive before the connection fails.
      if (reading_ == Reading::Always) {
        ReadAll(aClient);
      }
      aClient.isOpen_ = false;
    }
    return;
  }
}

void
Crowd::ReadAll(Client& aClient) const
{
  char bytes[16 * 1024];
  ssize_t count = 0;
  while (aClient.isOpen_ &&
         (count = recv(aClient.socket_, bytes, sizeof bytes, 0)) > 0) {
    const std::size_t room =
      kKeptBytes - std::min(kKeptBytes, aClient.received_.size());
    aClient.received_.append(bytes, std::min(room, std::size_t(count)));
  }
  if (aClient.isOpen_ && !(count < 0 && WouldWait())) {
    aClient.isOpen_ = false;
  }
}

void
Crowd::Advance()
{
  for (Client& client : clients_) {
    SendSome(client);
    if (reading_ == Reading::Always) {
      ReadAll(client);
    }
  }
}

bool
Crowd::IsDone() const
{
  return std::all_of(
    clients_.begin(), clients_.end(), [this](const Client& aClient) {
      return !aClient.isOpen_ || aClient.sent_ == ScriptSize();
    });
}

std::size_t
Crowd::UnreadByServer() const
{
  // Each line has the number, the local and the remote address, the state and
  // the queues "SENT:RECEIVED" of a socket, all in hexadecimal.
  std::ifstream file("/proc/net/tcp");
  std::string line;
  std::getline(file, line);
  std::size_t unread = 0;
  while (std::getline(file, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> local >> remote >> state >> queues;
    constexpr const char* kListening = "0A";
    const auto afterColon = [](const std::string& aPair) {
      return std::stoul(aPair.substr(aPair.find(':') + 1), nullptr, 16);
    };
    if (state != kListening && afterColon(local) == port_) {
      unread += afterColon(queues);
    }
  }
  return unread;
}

std::size_t
Crowd::OpenCount() const
{
  return std::size_t(
    std::count_if(clients_.begin(), clients_.end(), [](const Client& aClient) {
      return aClient.isOpen_;
    }));
}

std::vector<int>
Crowd::Statuses() const
{
  std::vector<int> statuses;
  for (const Client& client : clients_) {
    statuses.push_back(StatusOf(client.received_));
  }
  return statuses;
}

std::size_t
RunCrowd(EventLoop& aLoop, Crowd& aCrowd, pid_t aProcess)
{
  std::size_t descriptors = 0;
  std::size_t rounds = 0;
  constexpr std::size_t kRoundsPerSample = 16;
  const auto isDone = [&] {
    aCrowd.Advance();
    if (++rounds % kRoundsPerSample == 0) {
      descriptors = std::max(descriptors, OpenDescriptors(aProcess));
    }
    // Keeps the loop from waiting while the crowd is the only one to act.
    aLoop.Post([] {});
    return aCrowd.IsDone();
  };
  aLoop.RunUntil(isDone, kCrowdTimeout);
  const auto isRead = [&] { return isDone() && aCrowd.UnreadByServer() == 0; };
  aLoop.RunUntil(isRead, kReadTimeout);
  return std::max(descriptors, OpenDescriptors(aProcess));
}

bool
RunUntilAnswered(EventLoop& aLoop, Crowd& aCrowd)
{
  return aLoop.RunUntil(
    [&] {
      aCrowd.Advance();
      aLoop.Post([] {});
      const auto statuses = aCrowd.Statuses();
      return std::count(statuses.begin(), statuses.end(), 0) == 0;
    },
    kCrowdTimeout);
}

void
ExpectMemoryWithin(pid_t aProcess, std::size_t aBytes)
{
  constexpr double kMegabyte = 1e6;
  const std::size_t peak = PeakMemory(aProcess);
  cr_expect(peak > 0, "the instance has ended");
  cr_log_info("peak of memory: %.1f MB", double(peak) / kMegabyte);
  cr_expect_leq(peak,
                aBytes,
                "the instance used %.1f of %.0f MB",
                double(peak) / kMegabyte,
                double(aBytes) / kMegabyte);
}

std::size_t
PeakMemory(pid_t aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/status");
  std::string name;
  while (file >> name) {
    if (name == "VmHWM:") {
      std::size_t kibibytes = 0;
      file >> kibibytes;
      return kibibytes * 1024;
    }
  }
  return 0;
}

std::size_t
OpenDescriptors(pid_t aProcess)
{
  std::error_code error;
  const std::filesystem::directory_iterator entries(
    "/proc/" + std::to_string(aProcess) + "/fd", error);
  return error ? 0
               : std::size_t(std::distance(std::filesystem::begin(entries),
                                           std::filesystem::end(entries)));
}

} // namespace sycamoreward
