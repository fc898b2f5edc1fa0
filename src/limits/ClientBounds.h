#pragma once

// Bounds on what all clients of a process hold together: connections, bytes of
// requests, and bytes of answers that they have not read. They follow from the
// memory and the descriptors that the machine gives the process.

#include "base/Clock.h"
#include "base/Units.h"

#include <cstddef>
#include <limits>

namespace sycamoreward {

// Receive buffer of a client's connection, in bytes. Without it, the system
// would hold megabytes for each client that sends faster than it is read.
constexpr int kClientReceiveBuffer = 64 * 1024;

// What a machine gives to one process.
struct Machine
{
  Bytes memory_;
  std::size_t descriptors_ = 0;
};

// Reads the memory and the descriptors that this process may use: the least of
// the physical memory, the limit of its control group and its resource limits.
Machine
ReadMachine();

struct ClientBounds
{
  // Connections on all ports, including those that are being closed.
  std::size_t connections_ = 0;
  // Connections that only refusals may use, so that a refused client can read
  // its answer.
  std::size_t refusalReserve_ = 0;
  // Bytes of requests, whether they are complete or not, and of answers that
  // their clients have not read.
  std::size_t bytes_ = 0;
  // Unsent bytes of the answers that backend servers are sending.
  std::size_t streamedBytes_ = 0;
  // Idle connections to backend servers that are kept for the next requests.
  std::size_t idleServerConnections_ = 0;
};

// Divides a machine among what clients hold, and leaves the rest to the process
// itself. There are never more than aMaxConnections connections.
ClientBounds
DeriveClientBounds(
  const Machine& aMachine,
  std::size_t aMaxConnections = std::numeric_limits<std::size_t>::max());

// What a connection is doing.
enum class ClientPhase
{
  // Its last answer is being sent or was sent, and it is about to end.
  Closing,
  // A request has not arrived completely, or none has arrived since the
  // connection began.
  Incomplete,
  // Nothing is in progress, but the last answer is not read.
  Unread,
  // Nothing is in progress after a complete answer.
  Idle,
  // A complete request is being handled.
  Running
};

// What one connection holds.
struct ClientHolding
{
  ClientPhase phase_ = ClientPhase::Incomplete;
  std::size_t bytes_ = 0;
  // Time since the phase began.
  Duration held_{ 0 };
};

// How much a connection costs the other clients. When a bound is reached, the
// connection with the highest cost yields first: one that holds much for long
// without a complete request. It is 0 for a request in progress, which never
// yields.
double
YieldCost(const ClientHolding& aHolding);

// Whether a request that holds aOwn bytes fits when all clients hold aAll
// bytes, these included. A request may hold at most as much as it leaves free,
// so that large requests never take the room of small ones.
bool
FitsBytes(std::size_t aOwn, std::size_t aAll, const ClientBounds& aBounds);

// Whether a workspace may hold another request of aBytes when all clients hold
// aAll bytes and the workspace aOwn, both with this request. A workspace with
// many large requests leaves room for the others. Its small requests are not
// refused for the large ones.
bool
FitsWorkspace(std::size_t aBytes,
              std::size_t aOwn,
              std::size_t aAll,
              const ClientBounds& aBounds);

} // namespace sycamoreward
