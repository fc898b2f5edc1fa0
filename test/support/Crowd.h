#pragma once

// Clients that keep their connections to one address open and send raw bytes,
// for tests of what an instance keeps for all clients together.

#include "base/Address.h"

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sycamoreward {

class EventLoop;

// What each client sends: the start once, then the piece a number of times.
struct CrowdScript
{
  std::string start_;
  std::string piece_;
  std::size_t pieces_ = 0;
};

class Crowd
{
public:
  enum class Reading
  {
    // Clients read and drop what the instance sends.
    Always,
    // Clients never read.
    Never
  };

  // Starts aClients connections to aAddress.
  Crowd(const Address& aAddress,
        std::size_t aClients,
        CrowdScript aScript,
        Reading aReading = Reading::Always);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Sends what the sockets accept, without waiting.
  void Advance();

  // Whether each client has sent everything or was disconnected.
  bool IsDone() const;

  // Bytes that the system of the instance holds and the instance has not read.
  std::size_t UnreadByServer() const;

  // Clients that have not seen the end of their connection.
  std::size_t OpenCount() const;

  // Status of the first answer to each client; 0 without one. Empty unless
  // clients read.
  std::vector<int> Statuses() const;

private:
  struct Client
  {
    int socket_ = -1;
    bool isOpen_ = true;
    // Offset in the script.
    std::size_t sent_ = 0;
    // Start of what the instance sent.
    std::string received_;
  };

  std::size_t ScriptSize() const;
  void SendSome(Client& aClient);
  void ReadAll(Client& aClient) const;

  std::uint16_t port_;
  CrowdScript script_;
  Reading reading_;
  std::vector<Client> clients_;
};

// Runs aCrowd until it has sent what it can and aProcess has read what it
// reads. Returns the most descriptors that aProcess had open.
std::size_t
RunCrowd(EventLoop& aLoop, Crowd& aCrowd, pid_t aProcess);

// Runs aCrowd until each client has an answer. Returns false if one has none
// after a minute.
bool
RunUntilAnswered(EventLoop& aLoop, Crowd& aCrowd);

// Expects that aProcess lives and has never used more than aBytes.
void
ExpectMemoryWithin(pid_t aProcess, std::size_t aBytes);

// Highest resident memory of a process since its start, in bytes; 0 if it has
// ended.
std::size_t
PeakMemory(pid_t aProcess);

// Open descriptors of a process; 0 if it has ended.
std::size_t
OpenDescriptors(pid_t aProcess);

} // namespace sycamoreward
