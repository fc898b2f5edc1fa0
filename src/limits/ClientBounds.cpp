#include "limits/ClientBounds.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <limits>

namespace sycamoreward {

namespace {

// Descriptors that are set aside for files.
constexpr std::size_t kFileDescriptors = 200;
// Part of the sockets that is left to listeners, the store, the platform and
// peers.
constexpr std::size_t kOtherSocketsDivisor = 8;
// A connection of a client needs one socket and, while its request runs, one to
// a backend server; half as many again may be idle.
constexpr double kSocketsPerConnection = 2.5;
// Smallest numbers that let a process work at all.
constexpr std::size_t kMinSockets = 40;
constexpr std::size_t kMinRefusals = 2;
constexpr std::size_t kRefusalDivisor = 16;
// An idle connection counts for less than one that has not sent a request yet,
// since closing a connection that is in regular use costs its client a new one.
constexpr double kIncompleteWeight = 16;
constexpr double kClosingWeight = 1e6;
// Memory of a connection beside the bytes that it holds.
constexpr double kConnectionBytes = 4096;
// What a workspace may hold, in multiples of what it leaves free.
constexpr std::size_t kWorkspaceShare = 2;
// Part of all bytes up to which a request counts as small.
constexpr std::size_t kSmallRequestDivisor = 512;

std::uint64_t
ResourceLimit(int aResource)
{
  rlimit limit{};
  const bool isKnown = getrlimit(__rlimit_resource(aResource), &limit) == 0 &&
                       limit.rlim_cur != RLIM_INFINITY;
  return isKnown ? std::uint64_t(limit.rlim_cur)
                 : std::numeric_limits<std::uint64_t>::max();
}

// The limit of the process's control group; the maximum if there is none.
std::uint64_t
ControlGroupLimit()
{
  std::ifstream file("/sys/fs/cgroup/memory.max");
  std::uint64_t bytes = 0;
  return file >> bytes ? bytes : std::numeric_limits<std::uint64_t>::max();
}

} // namespace

Machine
ReadMachine()
{
  const std::uint64_t physical = std::uint64_t(sysconf(_SC_PHYS_PAGES)) *
                                 std::uint64_t(sysconf(_SC_PAGESIZE));
  return { Bytes(std::min(
             { physical, ControlGroupLimit(), ResourceLimit(RLIMIT_AS) })),
           std::size_t(ResourceLimit(RLIMIT_NOFILE)) };
}

ClientBounds
DeriveClientBounds(const Machine& aMachine, std::size_t aMaxConnections)
{
  const std::size_t memory = aMachine.memory_.Value();
  const std::size_t sockets =
    aMachine.descriptors_ > kFileDescriptors + kMinSockets
      ? aMachine.descriptors_ - kFileDescriptors
      : kMinSockets;
  const std::size_t clientSockets = sockets - sockets / kOtherSocketsDivisor;
  // Of the memory, 3/8 each for requests and for what the system has received,
  // 1/8 for streamed answers, and the rest for the process.
  ClientBounds bounds;
  bounds.connections_ =
    std::min({ std::size_t(double(clientSockets) / kSocketsPerConnection),
               std::max(memory / 8 * 3 / kClientReceiveBuffer, kMinSockets),
               aMaxConnections });
  bounds.refusalReserve_ =
    std::max(bounds.connections_ / kRefusalDivisor, kMinRefusals);
  bounds.bytes_ = memory / 8 * 3;
  bounds.streamedBytes_ = memory / 8;
  bounds.idleServerConnections_ = bounds.connections_ / 2;
  return bounds;
}

double
YieldCost(const ClientHolding& aHolding)
{
  // Both terms are positive, so that of two new connections the larger yields.
  const double cost = (kConnectionBytes + double(aHolding.bytes_)) *
                      (1.0 + double(aHolding.held_.count()));
  switch (aHolding.phase_) {
    case ClientPhase::Closing:
      return cost * kClosingWeight;
    case ClientPhase::Incomplete:
    case ClientPhase::Unread:
      return cost * kIncompleteWeight;
    case ClientPhase::Idle:
      return cost;
    case ClientPhase::Running:
      return 0;
  }
  return 0;
}

bool
FitsBytes(std::size_t aOwn, std::size_t aAll, const ClientBounds& aBounds)
{
  return aAll <= aBounds.bytes_ && aOwn <= aBounds.bytes_ - aAll;
}

bool
FitsWorkspace(std::size_t aBytes,
              std::size_t aOwn,
              std::size_t aAll,
              const ClientBounds& aBounds)
{
  return aBytes <= aBounds.bytes_ / kSmallRequestDivisor ||
         (aAll <= aBounds.bytes_ &&
          aOwn <= kWorkspaceShare * (aBounds.bytes_ - aAll));
}

} // namespace sycamoreward
