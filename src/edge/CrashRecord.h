#pragma once

// Finds requests that crash every server which runs them by what the requests
// on crashed servers have in common. The evidence is a set
// of crashes and of complete answers, so that what several instances have seen
// can be merged in any order.

#include "base/Clock.h"
#include "base/Ids.h"
#include "edge/Fingerprint.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sycamoreward::edge {

// The end of a server process with the requests that were running on it.
struct Crash
{
  ServerId server_;
  Incarnation incarnation_;
  MonotonicTime at_;
  // Whether another instance has told it.
  bool isReported_ = false;
  // When this instance last learned something new of the crash, and when it
  // last saw something new itself; unset if others have told all of it.
  MonotonicTime learnedAt_;
  MonotonicTime seenAt_;
  // For each fingerprint, when the latest request with it was sent.
  std::map<Fingerprint, MonotonicTime> sent_;
};

// The last complete answer to a request with a fingerprint.
struct LastAnswer
{
  MonotonicTime at_;
  // When this instance learned of it, and whether from another one.
  MonotonicTime learnedAt_;
  bool isReported_ = false;
};

// A fingerprint whose requests are refused.
struct Block
{
  // The end of the block, after which one request is tried.
  MonotonicTime until_;
  Duration length_{ 0 };
  // The last crash that led to the block. A later answer lifts it.
  MonotonicTime lastCrash_;
  // Whether this instance has sent that request.
  bool isTried_ = false;
  // When this instance last sent a request during the block to find out which
  // of several fingerprints crashes servers; unset if it never did.
  MonotonicTime testedAt_{};
};

// Which requests with a blocked fingerprint this instance may send.
struct TryRules
{
  // Whether it is the instance that tries a fingerprint after its block.
  std::function<bool(Fingerprint)> mayTry_;
  // Whether it may send a request during the block, aTime after its decision,
  // to find out which fingerprint crashes servers. aBlocked is the number of
  // blocked fingerprints that the request has.
  std::function<bool(Fingerprint, Duration aTime, std::size_t aBlocked)>
    mayTest_;
};

struct CrashRecord
{
  // Time that reports of other instances need. A block is not decided before
  // answers of theirs can have cleared the fingerprint.
  Duration settleTime_{ std::chrono::milliseconds(300) };
  // By time of the crash.
  std::deque<Crash> crashes_;
  // Number of crashes with each fingerprint. Most fingerprints are those of a
  // single request and need no further look.
  std::map<Fingerprint, std::uint32_t> crashCounts_;
  // Only for fingerprints of crashes and of blocks that were lifted.
  std::map<Fingerprint, LastAnswer> answered_;
  std::map<Fingerprint, Block> blocks_;
  // Fingerprints whose block an answer has lifted. Only while answered_ has
  // them.
  std::set<Fingerprint> lifted_;
};

// Number of crashes with a fingerprint from which its requests are refused.
constexpr std::size_t kCrashesUntilBlock = 3;
// Number of crashes with a fingerprint from which a request is not sent again.
// The first retry serves the requests that were only beside the one that
// crashed the server.
constexpr std::size_t kCrashesUntilNoRetry = 2;

// Adds a crash, or what it lacks to one that is known. Returns whether it told
// anything new.
bool
AddCrash(CrashRecord& aRecord, const Crash& aCrash, MonotonicTime aNow);

// Finds the crash of a server process; null if none is known.
const Crash*
FindCrash(const CrashRecord& aRecord,
          const ServerId& aServer,
          Incarnation aIncarnation);

// Records a complete answer to a request with aFingerprint. Returns whether it
// clears the fingerprint of a crash or lifts its block.
bool
AddAnswer(CrashRecord& aRecord,
          Fingerprint aFingerprint,
          const LastAnswer& aAnswer);

// The same for a request of this instance that is answered at aTime.
bool
AddAnswer(CrashRecord& aRecord, Fingerprint aFingerprint, MonotonicTime aTime);

// Whether a request with aFingerprint was answered since the last crash that
// led to aBlock.
bool
IsLifted(const CrashRecord& aRecord,
         Fingerprint aFingerprint,
         const Block& aBlock);

// Adds a block that another instance has decided, or prolongs one. Has no
// effect if the block is lifted.
void
AddBlock(CrashRecord& aRecord, Fingerprint aFingerprint, const Block& aBlock);

// Number of crashes with aFingerprint since the last complete answer. Crashes
// count only if the request was sent after the one before: servers that are
// lost together prove nothing about the requests on them.
std::size_t
CountCrashes(const CrashRecord& aRecord, Fingerprint aFingerprint);

// The latest crashes with aFingerprint that CountCrashes counts, at most enough
// to decide a block.
std::vector<const Crash*>
LatestCrashes(const CrashRecord& aRecord, Fingerprint aFingerprint);

// Whether other instances need to know of the crashes with aFingerprint: it
// came again after a crash, or its block has been decided.
bool
IsRecurrent(const CrashRecord& aRecord, Fingerprint aFingerprint);

// Whether other instances may have been told of the crashes with aFingerprint,
// so that they need to know of its answers.
bool
MayBeKnown(const CrashRecord& aRecord, Fingerprint aFingerprint);

// Blocks the fingerprints with enough crashes before the settle time, and drops
// what is too old. A fingerprint is not blocked if another one was there at
// each of its crashes and at more. Returns the fingerprints that are blocked
// anew.
std::vector<Fingerprint>
UpdateBlocks(CrashRecord& aRecord, MonotonicTime aNow);

// Returns how long a request with aFingerprints has to wait; nullopt if it may
// be sent. Fingerprints that were always together on crashed servers are all
// blocked. A request that has only some of them shows which one crashes
// servers, so it may be sent during the block if aRules permit it.
std::optional<Duration>
BlockedFor(const CrashRecord& aRecord,
           const std::vector<Fingerprint>& aFingerprints,
           const TryRules& aRules,
           MonotonicTime aNow);

// Records that a request with aFingerprints is sent at aNow.
void
RecordTry(CrashRecord& aRecord,
          const std::vector<Fingerprint>& aFingerprints,
          MonotonicTime aNow);

} // namespace sycamoreward::edge
