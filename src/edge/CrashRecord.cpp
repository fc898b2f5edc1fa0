#include "edge/CrashRecord.h"

#include <algorithm>

namespace sycamoreward::edge {

namespace {

// Length of the first block. A server that crashes on valid input does so until
// a release of it, and each try costs a server.
constexpr Duration kFirstBlock = std::chrono::minutes(2);
constexpr Duration kMaxBlock = std::chrono::hours(1);
// Time after the end of a block by which the request that is tried has been
// answered, or by which no request came.
constexpr Duration kTryTime = std::chrono::minutes(1);
// Time for which crashes count, and bounds of the record. Crashes are rare, and
// a server runs at most some hundred requests.
constexpr Duration kMemory = std::chrono::minutes(10);
constexpr std::size_t kMaxCrashes = 64;
constexpr std::size_t kMaxFingerprints = 128;
constexpr std::size_t kMaxBlocks = 64;
// Time after which nothing new follows from a crash.
constexpr Duration kEvaluationTime = std::chrono::seconds(5);
// Error of times that come from other instances: the time of a message.
constexpr Duration kTimeError = std::chrono::milliseconds(50);
// Wait of callers until the evidence has settled.
constexpr Duration kUnsettledWait = std::chrono::milliseconds(600);
// Time between two requests of this instance that show which one of several
// blocked fingerprints crashes servers.
constexpr Duration kTestInterval = std::chrono::seconds(1);
// Number of such requests with different parts that crashed servers after which
// no more are sent.
constexpr std::size_t kMaxFailedTests = 2;

// Number of crashes with aFingerprint, cleared or not.
std::uint32_t
CrashesWith(const CrashRecord& aRecord, Fingerprint aFingerprint)
{
  const auto found = aRecord.crashCounts_.find(aFingerprint);
  return found == aRecord.crashCounts_.end() ? 0 : found->second;
}

void
ForgetCrashWith(CrashRecord& aRecord, Fingerprint aFingerprint)
{
  const auto found = aRecord.crashCounts_.find(aFingerprint);
  if (found != aRecord.crashCounts_.end() && --found->second == 0) {
    aRecord.crashCounts_.erase(found);
  }
}

// Keeps the fingerprints of the requests that were sent last, as a server
// crashes soon after it has begun to run a request.
void
TrimFingerprints(CrashRecord& aRecord,
                 std::map<Fingerprint, MonotonicTime>& aSent)
{
  while (aSent.size() > kMaxFingerprints) {
    const auto oldest = std::min_element(
      aSent.begin(), aSent.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      });
    ForgetCrashWith(aRecord, oldest->first);
    aSent.erase(oldest);
  }
}

MonotonicTime
AnsweredAt(const CrashRecord& aRecord, Fingerprint aFingerprint)
{
  const auto answered = aRecord.answered_.find(aFingerprint);
  return answered == aRecord.answered_.end() ? MonotonicTime()
                                             : answered->second.at_;
}

MonotonicTime
LastCrashWith(const CrashRecord& aRecord, Fingerprint aFingerprint)
{
  MonotonicTime last;
  for (const Crash& crash : aRecord.crashes_) {
    if (crash.sent_.count(aFingerprint) != 0) {
      last = std::max(last, crash.at_);
    }
  }
  return last;
}

// Calls aOnCrash for the crashes with aFingerprint since its last answer until
// aEnd that count.
template<typename F>
void
ForEachCounted(const CrashRecord& aRecord,
               Fingerprint aFingerprint,
               MonotonicTime aEnd,
               const F& aOnCrash)
{
  if (CrashesWith(aRecord, aFingerprint) == 0) {
    return;
  }
  const MonotonicTime answered = AnsweredAt(aRecord, aFingerprint);
  bool isFirst = true;
  MonotonicTime last;
  for (const Crash& crash : aRecord.crashes_) {
    const auto sent = crash.sent_.find(aFingerprint);
    if (sent == crash.sent_.end() || crash.at_ <= answered ||
        crash.at_ > aEnd) {
      continue;
    }
    if (isFirst || sent->second + kTimeError >= last) {
      isFirst = false;
      last = crash.at_;
      aOnCrash(crash);
    }
  }
}

// Counts the crashes with aFingerprint since its last answer until aEnd.
std::size_t
CountUntil(const CrashRecord& aRecord,
           Fingerprint aFingerprint,
           MonotonicTime aEnd)
{
  std::size_t count = 0;
  ForEachCounted(
    aRecord, aFingerprint, aEnd, [&count](const Crash&) { ++count; });
  return count;
}

// Whether another fingerprint was there at each crash with aFingerprint since
// its last answer, and at others besides. A request that crashes servers also
// explains the crashes with the parts of its prompt.
bool
IsExplained(const CrashRecord& aRecord, Fingerprint aFingerprint)
{
  std::vector<const Crash*> with;
  std::vector<const Crash*> without;
  const MonotonicTime answered = AnsweredAt(aRecord, aFingerprint);
  for (const Crash& crash : aRecord.crashes_) {
    if (crash.sent_.count(aFingerprint) == 0) {
      without.push_back(&crash);
    } else if (crash.at_ > answered) {
      with.push_back(&crash);
    }
  }
  if (with.empty()) {
    return false;
  }
  for (const auto& [other, sent] : with.front()->sent_) {
    const MonotonicTime otherAnswered = AnsweredAt(aRecord, other);
    const auto hasOther = [&, other = other](const Crash* aCrash) {
      return aCrash->at_ > otherAnswered && aCrash->sent_.count(other) != 0;
    };
    if (other != aFingerprint &&
        std::all_of(with.begin(), with.end(), hasOther) &&
        ((IsRequest(other) && !IsRequest(aFingerprint)) ||
         std::any_of(without.begin(), without.end(), hasOther))) {
      return true;
    }
  }
  return false;
}

// Whether enough crashes until aEnd are with aFingerprint and not explained by
// another one.
bool
ShouldBlock(const CrashRecord& aRecord,
            Fingerprint aFingerprint,
            MonotonicTime aEnd)
{
  return CrashesWith(aRecord, aFingerprint) >= kCrashesUntilBlock &&
         CountUntil(aRecord, aFingerprint, aEnd) >= kCrashesUntilBlock &&
         !IsExplained(aRecord, aFingerprint);
}

// Returns what a request with aRequest lacks and what can have crashed a server
// in place of aFingerprint: the blocked fingerprints, and the parts of the same
// prompt. The parts of other prompts that the server read do not count, as
// there are some on almost every server.
std::set<Fingerprint>
Alternatives(const CrashRecord& aRecord,
             const Crash& aCrash,
             Fingerprint aFingerprint,
             const std::vector<Fingerprint>& aRequest)
{
  const MonotonicTime sent = aCrash.sent_.at(aFingerprint);
  std::set<Fingerprint> alternatives;
  for (const auto& [other, otherSent] : aCrash.sent_) {
    // Fingerprints of one request were sent at the same time.
    const bool isSamePrompt = otherSent == sent && !IsRequest(other);
    const bool isSuspect = isSamePrompt || aRecord.blocks_.count(other) != 0;
    if (isSuspect && other != aFingerprint &&
        AnsweredAt(aRecord, other) < aCrash.at_ &&
        std::find(aRequest.begin(), aRequest.end(), other) == aRequest.end()) {
      alternatives.insert(other);
    }
  }
  return alternatives;
}

// Whether a request with aRequest shows if aFingerprint, which aBlock refuses,
// crashes servers: each of its crashes can be due to something that the request
// lacks. Requests that were sent when all instances knew of the block are such
// tests themselves. If several of them crashed servers, each with other parts,
// it is aFingerprint that does, and no further test is needed.
bool
IsDiscriminating(const CrashRecord& aRecord,
                 Fingerprint aFingerprint,
                 const Block& aBlock,
                 const std::vector<Fingerprint>& aRequest)
{
  const MonotonicTime known =
    aBlock.until_ - aBlock.length_ + aRecord.settleTime_;
  const MonotonicTime answered = AnsweredAt(aRecord, aFingerprint);
  const auto isBlocked = [&aRecord](Fingerprint aOther) {
    return aRecord.blocks_.count(aOther) != 0;
  };
  std::size_t crashes = 0;
  std::size_t failedTests = 0;
  // What else can have crashed the servers of the failed tests.
  std::set<Fingerprint> otherSuspects;
  for (const Crash& crash : aRecord.crashes_) {
    const auto sent = crash.sent_.find(aFingerprint);
    if (crash.at_ <= answered || sent == crash.sent_.end()) {
      continue;
    }
    ++crashes;
    const auto others = Alternatives(aRecord, crash, aFingerprint, aRequest);
    if (others.empty()) {
      return false;
    }
    const bool isTest = sent->second > known &&
                        std::none_of(others.begin(), others.end(), isBlocked);
    if (isTest) {
      // Two tests with a part in common may have failed because of that part.
      const bool isNew =
        std::none_of(others.begin(), others.end(), [&](Fingerprint aOther) {
          return otherSuspects.count(aOther) != 0;
        });
      failedTests += isNew ? 1 : 0;
      otherSuspects.insert(others.begin(), others.end());
    }
  }
  return crashes > 0 && failedTests < kMaxFailedTests;
}

// Returns how long a request with aFingerprints has to wait because
// aFingerprint is blocked until a time that has not come.
Duration
WaitDuringBlock(const CrashRecord& aRecord,
                Fingerprint aFingerprint,
                const Block& aBlock,
                const std::vector<Fingerprint>& aFingerprints,
                const TryRules& aRules,
                MonotonicTime aNow)
{
  if (!IsDiscriminating(aRecord, aFingerprint, aBlock, aFingerprints)) {
    return aBlock.until_ - aNow;
  }
  const auto blocked = std::count_if(
    aFingerprints.begin(), aFingerprints.end(), [&](Fingerprint aOther) {
      return aRecord.blocks_.count(aOther) != 0;
    });
  const Duration sinceDecision = aNow - (aBlock.until_ - aBlock.length_);
  const bool isDue = aBlock.testedAt_ == MonotonicTime() ||
                     aNow - aBlock.testedAt_ >= kTestInterval;
  const bool mayTest =
    isDue && aRules.mayTest_(aFingerprint, sinceDecision, std::size_t(blocked));
  return mayTest ? Duration(0) : kTestInterval;
}

// Drops old crashes, and the answers that no crash refers to any more.
void
DropOld(CrashRecord& aRecord, MonotonicTime aNow)
{
  auto& crashes = aRecord.crashes_;
  while (!crashes.empty() && (crashes.size() > kMaxCrashes ||
                              aNow - crashes.front().at_ > kMemory)) {
    for (const auto& [fingerprint, sent] : crashes.front().sent_) {
      ForgetCrashWith(aRecord, fingerprint);
    }
    crashes.pop_front();
  }
  auto& answered = aRecord.answered_;
  for (auto entry = answered.begin(); entry != answered.end();) {
    // An answer is also needed while other instances can report a block that it
    // has lifted.
    const bool isKept = CrashesWith(aRecord, entry->first) > 0 ||
                        aNow - entry->second.at_ <= kMemory;
    if (!isKept) {
      aRecord.lifted_.erase(entry->first);
    }
    entry = isKept ? std::next(entry) : answered.erase(entry);
  }
  auto& blocks = aRecord.blocks_;
  for (auto entry = blocks.begin(); entry != blocks.end();) {
    if (aNow <= entry->second.until_ + kTryTime) {
      ++entry;
      continue;
    }
    // Nobody asked for it in the meantime. Older crashes count no longer.
    answered[entry->first] = { entry->second.until_, aNow, false };
    entry = blocks.erase(entry);
  }
}

} // namespace

const Crash*
FindCrash(const CrashRecord& aRecord,
          const ServerId& aServer,
          Incarnation aIncarnation)
{
  const auto found = std::find_if(
    aRecord.crashes_.begin(), aRecord.crashes_.end(), [&](const Crash& aCrash) {
      return aCrash.server_ == aServer && aCrash.incarnation_ == aIncarnation;
    });
  return found == aRecord.crashes_.end() ? nullptr : &*found;
}

bool
AddCrash(CrashRecord& aRecord, const Crash& aCrash, MonotonicTime aNow)
{
  auto& crashes = aRecord.crashes_;
  auto known =
    std::find_if(crashes.begin(), crashes.end(), [&](const Crash& aOther) {
      return aOther.server_ == aCrash.server_ &&
             aOther.incarnation_ == aCrash.incarnation_;
    });
  bool isNew = known == crashes.end();
  if (isNew) {
    const auto place =
      std::find_if(crashes.begin(), crashes.end(), [&](const Crash& aOther) {
        return aOther.at_ > aCrash.at_;
      });
    known = crashes.insert(place, aCrash);
    known->sent_.clear();
  }
  for (const auto& [fingerprint, sent] : aCrash.sent_) {
    if (known->sent_.emplace(fingerprint, sent).second) {
      isNew = true;
      ++aRecord.crashCounts_[fingerprint];
    }
  }
  TrimFingerprints(aRecord, known->sent_);
  if (isNew) {
    known->learnedAt_ = aNow;
  }
  if (isNew && !aCrash.isReported_) {
    known->seenAt_ = aNow;
  }
  return isNew;
}

bool
AddAnswer(CrashRecord& aRecord,
          Fingerprint aFingerprint,
          const LastAnswer& aAnswer)
{
  const MonotonicTime last = AnsweredAt(aRecord, aFingerprint);
  bool isCleared = false;
  const auto block = aRecord.blocks_.find(aFingerprint);
  bool isLatest =
    block == aRecord.blocks_.end() || block->second.lastCrash_ < aAnswer.at_;
  if (CrashesWith(aRecord, aFingerprint) > 0) {
    for (const Crash& crash : aRecord.crashes_) {
      if (crash.sent_.count(aFingerprint) != 0) {
        isCleared |= crash.at_ > last && crash.at_ <= aAnswer.at_;
        isLatest = isLatest && crash.at_ <= aAnswer.at_;
      }
    }
  }
  const bool isLifted = isLatest && block != aRecord.blocks_.end();
  if (isLifted) {
    aRecord.blocks_.erase(block);
    aRecord.lifted_.insert(aFingerprint);
  }
  if (isCleared || isLifted) {
    aRecord.answered_[aFingerprint] = aAnswer;
  }
  return isCleared || isLifted;
}

bool
AddAnswer(CrashRecord& aRecord, Fingerprint aFingerprint, MonotonicTime aTime)
{
  return AddAnswer(aRecord, aFingerprint, LastAnswer{ aTime, aTime, false });
}

bool
IsLifted(const CrashRecord& aRecord,
         Fingerprint aFingerprint,
         const Block& aBlock)
{
  return AnsweredAt(aRecord, aFingerprint) > aBlock.lastCrash_;
}

void
AddBlock(CrashRecord& aRecord, Fingerprint aFingerprint, const Block& aBlock)
{
  const bool isFull = aRecord.blocks_.count(aFingerprint) == 0 &&
                      aRecord.blocks_.size() >= kMaxBlocks;
  if (isFull || IsLifted(aRecord, aFingerprint, aBlock)) {
    return;
  }
  Block& block = aRecord.blocks_[aFingerprint];
  if (block.until_ + kTimeError < aBlock.until_) {
    block = aBlock;
  }
}

std::size_t
CountCrashes(const CrashRecord& aRecord, Fingerprint aFingerprint)
{
  return CountUntil(aRecord, aFingerprint, MonotonicTime::max());
}

std::vector<const Crash*>
LatestCrashes(const CrashRecord& aRecord, Fingerprint aFingerprint)
{
  std::vector<const Crash*> crashes;
  ForEachCounted(aRecord,
                 aFingerprint,
                 MonotonicTime::max(),
                 [&](const Crash& aCrash) { crashes.push_back(&aCrash); });
  if (crashes.size() > kCrashesUntilBlock) {
    crashes.erase(crashes.begin(), crashes.end() - kCrashesUntilBlock);
  }
  return crashes;
}

bool
IsRecurrent(const CrashRecord& aRecord, Fingerprint aFingerprint)
{
  return (CrashesWith(aRecord, aFingerprint) > 1 &&
          CountCrashes(aRecord, aFingerprint) > 1) ||
         aRecord.blocks_.count(aFingerprint) != 0;
}

bool
MayBeKnown(const CrashRecord& aRecord, Fingerprint aFingerprint)
{
  return CrashesWith(aRecord, aFingerprint) > 1 ||
         aRecord.lifted_.count(aFingerprint) != 0;
}

std::vector<Fingerprint>
UpdateBlocks(CrashRecord& aRecord, MonotonicTime aNow)
{
  DropOld(aRecord, aNow);
  std::vector<Fingerprint> blocked;
  const MonotonicTime settled = aNow - aRecord.settleTime_;
  for (const Crash& crash : aRecord.crashes_) {
    if (aNow - crash.learnedAt_ > kEvaluationTime) {
      continue;
    }
    for (const auto& [fingerprint, sent] : crash.sent_) {
      const auto block = aRecord.blocks_.find(fingerprint);
      if (block != aRecord.blocks_.end()) {
        const bool hasFailed =
          crash.at_ <= settled && crash.at_ > block->second.until_;
        if (hasFailed) {
          const Duration length =
            std::min<Duration>(block->second.length_ * 2, kMaxBlock);
          block->second = { aNow + length, length, crash.at_ };
          blocked.push_back(fingerprint);
        }
        continue;
      }
      if (aRecord.blocks_.size() < kMaxBlocks &&
          ShouldBlock(aRecord, fingerprint, settled)) {
        aRecord.blocks_[fingerprint] = { aNow + kFirstBlock,
                                         kFirstBlock,
                                         LastCrashWith(aRecord, fingerprint) };
        blocked.push_back(fingerprint);
      }
    }
  }
  return blocked;
}

std::optional<Duration>
BlockedFor(const CrashRecord& aRecord,
           const std::vector<Fingerprint>& aFingerprints,
           const TryRules& aRules,
           MonotonicTime aNow)
{
  Duration wait{ 0 };
  for (const Fingerprint& fingerprint : aFingerprints) {
    const auto found = aRecord.blocks_.find(fingerprint);
    if (found == aRecord.blocks_.end()) {
      if (ShouldBlock(aRecord, fingerprint, aNow)) {
        wait = std::max(wait, kUnsettledWait);
      }
      continue;
    }
    const Block& block = found->second;
    if (aNow < block.until_) {
      wait =
        std::max(wait,
                 WaitDuringBlock(
                   aRecord, fingerprint, block, aFingerprints, aRules, aNow));
    } else if (!aRules.mayTry_(fingerprint) || block.isTried_) {
      wait = std::max<Duration>(wait, block.until_ + kTryTime - aNow);
    }
  }
  return wait > Duration(0) ? std::optional<Duration>(wait) : std::nullopt;
}

void
RecordTry(CrashRecord& aRecord,
          const std::vector<Fingerprint>& aFingerprints,
          MonotonicTime aNow)
{
  for (const Fingerprint& fingerprint : aFingerprints) {
    const auto found = aRecord.blocks_.find(fingerprint);
    if (found == aRecord.blocks_.end()) {
      continue;
    }
    Block& block = found->second;
    if (aNow < block.until_) {
      block.testedAt_ = aNow;
    } else {
      block.isTried_ = true;
    }
  }
}

} // namespace sycamoreward::edge
