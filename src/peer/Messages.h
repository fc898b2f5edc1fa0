#pragma once

// Messages of the inner protocol. On the wire each is a CBOR map; receivers
// ignore fields that they don't know, so that versions can be mixed.

#include "base/Ids.h"
#include "ledger/Ledger.h"
#include "ledger/Outcome.h"
#include "membership/Member.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sycamoreward {

// First frame in each direction.
struct Hello
{
  std::uint32_t protocol_ = 1;
  PeerIdentity identity_;
};

// A change in what is known of a member, spread with beats.
struct MemberEvent
{
  PeerIdentity identity_;
  MemberState state_ = MemberState::Live;
};

// A change in what is known of a backend server, found by an instance before
// the platform's list said so.
struct ServerLeavingEvent
{
  ServerId server_;
};

// Heartbeat to a neighbour.
struct Beat
{
  Incarnation incarnation_;
  Revision configuration_;
  std::uint64_t serverListVersion_ = 0;
  // Lowest configuration revision in force by failure domain: where the sender
  // has contact with members of it, and where only peers of the sender have.
  std::map<std::string, std::uint64_t> inForce_;
  std::map<std::string, std::uint64_t> relayedInForce_;
  std::vector<MemberEvent> members_;
  std::vector<ServerLeavingEvent> leavingServers_;
};

// Asks for a sign of life on a new connection.
struct Probe
{};
struct ProbeReply
{};

enum class FeedName
{
  Configuration,
  ServerList
};

// Asks for what follows a version of a feed; 0 asks for a snapshot.
struct FeedPull
{
  FeedName feed_ = FeedName::Configuration;
  std::uint64_t after_ = 0;
};

// Changes from after_ to version_, or a snapshot at version_. Items are JSON
// texts in the form that the feed's owner defines.
struct FeedDelta
{
  FeedName feed_ = FeedName::Configuration;
  bool isSnapshot_ = false;
  std::uint64_t after_ = 0;
  std::uint64_t version_ = 0;
  std::vector<std::string> items_;
};

struct Register
{
  RegisterRequest request_;
};
struct Registered
{
  RegisterReply reply_;
};

// Outcomes for the registrar to make durable.
struct Record
{
  std::vector<Outcome> outcomes_;
};
// Answer to Record, sent once the outcomes are in the table.
struct Recorded
{
  std::vector<RequestId> requests_;
};

struct Lookup
{
  RequestId request_;
};
struct LookupAnswer
{
  std::optional<Outcome> outcome_;
  std::string error_;
};

// Asks the owner of a request for its answer, from a part on.
struct Follow
{
  RequestId request_;
  PartIndex from_;
};

enum class AnswerPartKind
{
  // Status and headers of the answer.
  Head,
  Data,
  // The answer is whole.
  End,
  // The owner can't give the rest; data_ says why.
  Broken
};

// A part of an answer, sent to a follower.
struct AnswerPart
{
  RequestId request_;
  AttemptNumber attempt_;
  PartIndex index_;
  AnswerPartKind kind_ = AnswerPartKind::Data;
  int status_ = 0;
  std::string contentType_;
  std::string data_;
};

// A running request, moved to a successor by an instance that leaves.
struct HandOver
{
  RequestId request_;
  WorkspaceId workspace_;
  ServiceName service_;
  std::string keyDigest_;
  std::string bodyDigest_;
  std::string method_;
  std::string target_;
  std::string contentType_;
  std::string body_;
  WallTime accepted_;
  // Time left until the request's deadline.
  Duration remaining_{ 0 };
  std::vector<AttemptRecord> attempts_;
  // An unrepeatable request whose call was sent; the successor may only ask.
  bool isSent_ = false;
  // Owners so far, from whom the successor takes a durable claim over.
  std::vector<InstanceId> owners_;
  // Parts of the answer so far.
  int status_ = 0;
  std::string answerContentType_;
  std::vector<std::string> tokens_;
};
struct HandOverReply
{
  bool isAccepted_ = false;
  std::string reason_;
};

// What one entry instance has at a backend server, and knows of it.
struct ServerUse
{
  ServerId server_;
  std::uint64_t running_ = 0;
  // Prompt tokens that the server has not read yet.
  std::uint64_t unreadTokens_ = 0;
  // The server's last statement of how long its work takes, in percent of the
  // usual time, and the age of the statement; 0 for none.
  std::uint64_t slownessPercent_ = 0;
  std::uint64_t slownessAgeMs_ = 0;
};

// Requests that began to run in a window of wall time, by workspace.
struct WindowUse
{
  std::uint64_t window_ = 0;
  std::map<std::string, std::uint64_t> counts_;
};

// What an entry instance tells the others several times a second.
struct InstanceReport
{
  PeerIdentity identity_;
  // Counts the reports of one start.
  std::uint64_t sequence_ = 0;
  // Only servers_ is filled: the instance has just sent a long prompt.
  bool isLoadOnly_ = false;
  WallTime sent_;
  bool isReady_ = false;
  bool isLeaving_ = false;
  Revision deployment_;
  // Epoch of the duties that the instance holds; 0 for none.
  FencingToken dutyEpoch_;
  std::vector<ServerUse> servers_;
  // Amounts taken from allotments since the start, by workspace.
  std::map<std::string, std::uint64_t> used_;
  std::vector<WindowUse> begun_;
  // Prompt tokens a second that engines had to read, by service, and requests
  // refused for lack of capacity since the start.
  std::map<std::string, std::uint64_t> demand_;
  std::uint64_t refused_ = 0;
};

// Reports of the sender.
struct Reports
{
  std::vector<InstanceReport> reports_;
  // Asks for a Digest in return, with the rows that changed after the given
  // version of each table.
  bool wantsDigest_ = false;
  std::map<std::string, std::uint64_t> rowVersions_;
};

// A row of the platform's store, passed on to instances that don't read it.
struct RelayedRow
{
  std::string table_;
  std::string key_;
  std::string value_;
  std::uint64_t version_ = 0;
  bool isDeleted_ = false;
};

// What an instance that gathers reports knows of all instances but the one that
// asks. Values stand in lists of numbers, since a hundred instances get one
// each second and names of fields would make up most of it.
struct Digest
{
  // Ids, and for each one: running requests, unread tokens, slowness in
  // percent, age of the slowness in milliseconds.
  std::vector<std::string> servers_;
  std::vector<std::uint64_t> serverValues_;
  // Ids, and for each one: incarnation, 1 when ready plus 2 when leaving, epoch
  // of the duties held.
  std::vector<std::string> members_;
  std::vector<std::uint64_t> memberValues_;
  std::map<std::string, std::uint64_t> used_;
  std::map<std::string, std::uint64_t> demand_;
  std::uint64_t refused_ = 0;
  // Version of each table that the rows bring the receiver to.
  std::map<std::string, std::uint64_t> rowVersions_;
  std::vector<RelayedRow> rows_;
};

// Asks an instance that gathers reports for use beyond what the sender may take
// of a workspace's quota by itself.
struct QuotaRequest
{
  WorkspaceId workspace_;
  // In the quota's unit.
  std::uint64_t amount_ = 0;
};
struct QuotaReply
{
  bool isGranted_ = false;
};

// Asks a placer for the server of a request. Prompt parts stand in two lists,
// as in a digest.
struct PlacementRequest
{
  ServiceName service_;
  // Failure domain of the sender.
  FailureDomainId domain_;
  std::uint64_t promptTokens_ = 0;
  std::vector<std::uint64_t> parts_;
  std::vector<std::uint64_t> partTokens_;
  // Servers that the request was sent to before.
  std::vector<std::string> tried_;
  // Servers to which the sender has an idle connection.
  std::vector<std::string> idle_;
};
// The server, which the placer counts the request at from now on.
struct PlacementReply
{
  // Empty when the placer has none.
  ServerId server_;
  // Names the request in PlacementUpdate.
  std::uint64_t work_ = 0;
  // Time until the answer begins, until the prompt is read, and for reading it.
  std::uint64_t waitMs_ = 0;
  std::uint64_t queueMs_ = 0;
  std::uint64_t readMs_ = 0;
  // Prompt tokens of the request that the server has to read.
  std::uint64_t tokens_ = 0;
  // Tokens unread and requests running there before.
  std::uint64_t unreadTokens_ = 0;
  std::uint64_t running_ = 0;
  // Mean time that the placer's engines need for what they have to read.
  std::uint64_t loadMs_ = 0;
};

enum class PlacementEvent
{
  // The first event has come.
  FirstEvent,
  Ended,
  Failed,
  // No connection could be made.
  Unreachable,
  // The request was not sent after all.
  NotSent
};

// What became of a request that a placer counts.
struct PlacementUpdate
{
  std::uint64_t work_ = 0;
  PlacementEvent event_ = PlacementEvent::Ended;
  // Time since the request was sent.
  std::uint64_t afterMs_ = 0;
  // The server's statement with its answer; 0 for none.
  std::uint64_t slownessPercent_ = 0;
};
struct PlacementUpdates
{
  std::vector<PlacementUpdate> updates_;
};

using Message = std::variant<Hello,
                             Beat,
                             Probe,
                             ProbeReply,
                             FeedPull,
                             FeedDelta,
                             Register,
                             Registered,
                             Record,
                             Recorded,
                             Lookup,
                             LookupAnswer,
                             Follow,
                             AnswerPart,
                             HandOver,
                             HandOverReply,
                             Reports,
                             Digest,
                             QuotaRequest,
                             QuotaReply,
                             PlacementRequest,
                             PlacementReply,
                             PlacementUpdates>;

} // namespace sycamoreward
