#pragma once

// Messages of the protocol between entry instances. Each is a CBOR map on the
// wire. Receivers ignore unknown fields, so that different versions can run
// side by side.

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

// First frame in each direction; identifies the sender.
struct Hello
{
  std::uint32_t protocol_ = 1;
  PeerIdentity identity_;
};

// A change in the state of a member, disseminated with heartbeats.
struct MemberEvent
{
  PeerIdentity identity_;
  MemberState state_ = MemberState::Live;
};

// Reports that a backend server is leaving, detected by an instance before the
// platform's server list showed it.
struct ServerLeavingEvent
{
  ServerId server_;
};

// Heartbeat to another member, and the reply to it.
struct Beat
{
  Incarnation incarnation_;
  Revision configuration_;
  std::uint64_t serverListVersion_ = 0;
  // Lowest configuration revision in force, by failure domain: first for
  // domains with members that the sender is in contact with, then for domains
  // that only peers of the sender are in contact with.
  std::map<std::string, std::uint64_t> inForce_;
  std::map<std::string, std::uint64_t> relayedInForce_;
  std::vector<MemberEvent> members_;
  std::vector<ServerLeavingEvent> leavingServers_;
};

// Checks over a new connection whether the peer is alive.
struct Probe
{};
struct ProbeReply
{};

enum class FeedName
{
  Configuration,
  ServerList
};

// Requests the changes after a version of a feed; 0 requests a snapshot.
struct FeedPull
{
  FeedName feed_ = FeedName::Configuration;
  std::uint64_t after_ = 0;
};

// Changes from after_ to version_, or a snapshot at version_. Items are JSON
// documents in the format that the owner of the feed defines.
struct FeedDelta
{
  FeedName feed_ = FeedName::Configuration;
  bool isSnapshot_ = false;
  std::uint64_t after_ = 0;
  std::uint64_t version_ = 0;
  std::vector<std::string> items_;
};

// Registers a request with the registrar.
struct Register
{
  RegisterRequest request_;
};
struct Registered
{
  RegisterReply reply_;
};

// Outcomes that the registrar must store durably.
struct Record
{
  std::vector<Outcome> outcomes_;
};
// Reply to Record, sent once the outcomes are stored in the table.
struct Recorded
{
  std::vector<RequestId> requests_;
};

// Queries the outcome of a request.
struct Lookup
{
  RequestId request_;
};
struct LookupAnswer
{
  std::optional<Outcome> outcome_;
  std::string error_;
};

// Requests the answer of a request from its owner, starting at part from_.
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
  // The answer is complete.
  End,
  // The owner cannot deliver the rest of the answer; data_ holds the reason.
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

// Moves a running request from a leaving instance to a successor.
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
  // The request is unrepeatable and its call was sent, so the successor may
  // only query its status.
  bool isSent_ = false;
  // All owners up to now, from which the successor takes over a durable claim.
  std::vector<InstanceId> owners_;
  // The part of the answer received so far.
  int status_ = 0;
  std::string answerContentType_;
  std::vector<std::string> tokens_;
};
struct HandOverReply
{
  bool isAccepted_ = false;
  std::string reason_;
};

// The load that one entry instance has on a backend server, and the slowness
// that the server last reported to it.
struct ServerUse
{
  ServerId server_;
  std::uint64_t running_ = 0;
  // Prompt tokens that the server has not read yet.
  std::uint64_t unreadTokens_ = 0;
  // The server's last reported processing time, in percent of the usual time,
  // and the age of this report; 0 when there is none.
  std::uint64_t slownessPercent_ = 0;
  std::uint64_t slownessAgeMs_ = 0;
};

// What an entry instance knows of the request rate that a server takes from all
// instances.
struct ServerLimit
{
  ServerId server_;
  // Unset when the server names no limit any more.
  bool isLimited_ = false;
  // Requests in a thousand seconds.
  std::uint64_t milliRate_ = 0;
  // Age of the answer that told it.
  std::uint64_t ageMs_ = 0;
};

// A backend server that has said in an answer that it leaves.
struct LeavingServer
{
  ServerId server_;
  Incarnation incarnation_;
};

// The crash of a backend server, with the fingerprints of the requests that
// were running on it and the time since the latest one with each was sent.
struct ServerCrash
{
  ServerId server_;
  Incarnation incarnation_;
  std::uint64_t ageMs_ = 0;
  std::vector<std::uint64_t> fingerprints_;
  std::vector<std::uint64_t> sentAgesMs_;
};

// What an entry instance knows of a fingerprint of requests that were running
// on a crashed server.
struct FingerprintStatus
{
  std::uint64_t fingerprint_ = 0;
  // Whether a request with it was answered, and the time since then.
  bool isAnswered_ = false;
  std::uint64_t answerAgeMs_ = 0;
  // Time left until one request with it may be tried, and the whole time for
  // which it is refused; 0 when it is not refused.
  std::uint64_t blockedMs_ = 0;
  std::uint64_t blockLengthMs_ = 0;
  // Time since the last crash that led to the refusal; 0 from an instance of an
  // earlier build.
  std::uint64_t blockCrashAgeMs_ = 0;
};

// Number of requests that started in a window of wall time, by workspace.
struct WindowUse
{
  std::uint64_t window_ = 0;
  std::map<std::string, std::uint64_t> counts_;
};

// Status report that an entry instance sends to its peers several times a
// second.
struct InstanceReport
{
  PeerIdentity identity_;
  // Sequence number of the report within one incarnation.
  std::uint64_t sequence_ = 0;
  // Set when only servers_, limits_, leaving_, crashes_, fingerprints_ and the
  // unconfirmed part of used_ are filled, in a report sent right after a long
  // prompt.
  bool isLoadOnly_ = false;
  WallTime sent_;
  bool isReady_ = false;
  bool isLeaving_ = false;
  Revision deployment_;
  // Epoch of the duties that the instance holds; 0 when it holds none.
  FencingToken dutyEpoch_;
  std::vector<ServerUse> servers_;
  std::vector<ServerLimit> limits_;
  std::vector<LeavingServer> leaving_;
  std::vector<ServerCrash> crashes_;
  std::vector<FingerprintStatus> fingerprints_;
  // Quota consumed since the start of the instance, by workspace.
  std::map<std::string, std::uint64_t> used_;
  // Amount that can be consumed now, of workspaces that have used much of their
  // quota.
  std::map<std::string, std::uint64_t> quotaLevels_;
  std::vector<WindowUse> begun_;
  // Prompt tokens per second that engines had to read, by service, and the
  // number of requests refused for lack of capacity since the start.
  std::map<std::string, std::uint64_t> demand_;
  std::uint64_t refused_ = 0;
};

// Carries reports of the sender.
struct Reports
{
  std::vector<InstanceReport> reports_;
  // The last report that the sender has applied of the receiver, whose use it
  // thus knows; 0 when there is none.
  Incarnation heardIncarnation_;
  std::uint64_t heardSequence_ = 0;
  // Asks the receiver to tell at once that it has applied the reports.
  bool wantsHeard_ = false;
  // Requests a Digest in reply, with the rows that changed after the given
  // version of each table.
  bool wantsDigest_ = false;
  std::map<std::string, std::uint64_t> rowVersions_;
  // Era of the store in which each version was given out.
  std::map<std::string, std::uint64_t> rowEras_;
  // Version and era of the latest change of each table that the sender has.
  // Only with full reports.
  std::map<std::string, std::uint64_t> changeVersions_;
  std::map<std::string, std::uint64_t> changeEras_;
};

// A row of the platform's store, relayed to instances that do not read the
// store themselves.
struct RelayedRow
{
  std::string table_;
  std::string key_;
  std::string value_;
  std::uint64_t version_ = 0;
  bool isDeleted_ = false;
};

// Aggregated reports of all instances except the receiver, sent by an instance
// that collects reports. Values are encoded as flat lists of numbers, since a
// hundred instances receive a digest each second and field names would make up
// most of its size.
struct Digest
{
  // Server ids, with four values for each: running requests, unread tokens,
  // slowness in percent, age of the slowness in milliseconds.
  std::vector<std::string> servers_;
  std::vector<std::uint64_t> serverValues_;
  // Member ids, with three values for each: incarnation, flags (1 when ready
  // plus 2 when leaving), epoch of the duties held.
  std::vector<std::string> members_;
  std::vector<std::uint64_t> memberValues_;
  std::map<std::string, std::uint64_t> used_;
  std::map<std::string, std::uint64_t> demand_;
  std::uint64_t refused_ = 0;
  // Version of each table after rows_ have been applied, and the era of the
  // store in which it was given out.
  std::map<std::string, std::uint64_t> rowVersions_;
  std::map<std::string, std::uint64_t> rowEras_;
  std::vector<RelayedRow> rows_;
  std::vector<ServerLimit> limits_;
  std::vector<LeavingServer> leaving_;
  std::vector<ServerCrash> crashes_;
  std::vector<FingerprintStatus> fingerprints_;
};

// Requests quota of a workspace beyond the sender's local limit from an
// instance that collects reports.
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

// Asks a placer to choose the server for a request. Prompt parts are encoded as
// two parallel lists, as in Digest.
struct PlacementRequest
{
  ServiceName service_;
  // Failure domain of the sender.
  FailureDomainId domain_;
  std::uint64_t promptTokens_ = 0;
  // Time within which the answer has its full value; 0 if it is not known.
  std::uint64_t objectiveMs_ = 0;
  std::vector<std::uint64_t> parts_;
  std::vector<std::uint64_t> partTokens_;
  // Servers to which the request was sent before.
  std::vector<std::string> tried_;
  // Servers to which the sender has an idle connection.
  std::vector<std::string> idle_;
};
// The chosen server. The placer counts the request towards its load from now
// on.
struct PlacementReply
{
  // Empty when no server is available.
  ServerId server_;
  // Identifies the request in PlacementUpdate.
  std::uint64_t work_ = 0;
  // Estimated time until the answer begins, until the prompt is read, and for
  // reading the prompt.
  std::uint64_t waitMs_ = 0;
  std::uint64_t queueMs_ = 0;
  std::uint64_t readMs_ = 0;
  // Prompt tokens of the request that the server has to read.
  std::uint64_t tokens_ = 0;
  // Unread tokens and running requests on the server before this request.
  std::uint64_t unreadTokens_ = 0;
  std::uint64_t running_ = 0;
  // Mean time that the placer's engines need to read their unread tokens.
  std::uint64_t loadMs_ = 0;
};

enum class PlacementEvent
{
  // The first event of the answer has arrived.
  FirstEvent,
  Ended,
  Failed,
  // No connection could be established.
  Unreachable,
  // The request was not sent.
  NotSent
};

// Progress of a request that a placer tracks.
struct PlacementUpdate
{
  std::uint64_t work_ = 0;
  PlacementEvent event_ = PlacementEvent::Ended;
  // Time since the request was sent.
  std::uint64_t afterMs_ = 0;
  // Slowness that the server reported with its answer; 0 when there is none.
  std::uint64_t slownessPercent_ = 0;
};
// Progress reports from an instance to a placer. The wire name differs, see
// kTypeNames in MessageCodec.cpp.
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
