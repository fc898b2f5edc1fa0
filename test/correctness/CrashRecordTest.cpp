// Which requests are refused because servers crashed under them.

#include "edge/CrashRecord.h"
#include "edge/BlockRows.h"

#include <criterion/criterion.h>

#include <string>

using namespace sycamoreward;
using namespace sycamoreward::edge;

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
const Fingerprint kCrashing(0xd);
const Fingerprint kShared(0x5);

MonotonicTime
At(double aSeconds)
{
  return MonotonicTime() + std::chrono::hours(1) +
         Duration(Duration::rep(aSeconds * 1e6));
}

// The crash of aServer at aTime under requests that were sent a tenth of a
// second before.
Crash
CrashOf(int aServer,
        double aTime,
        const std::vector<Fingerprint>& aFingerprints,
        double aSentBefore = 0.1)
{
  Crash crash;
  crash.server_ = ServerId("server-" + std::to_string(aServer));
  crash.incarnation_ = Incarnation(1);
  crash.at_ = At(aTime);
  for (const Fingerprint& fingerprint : aFingerprints) {
    crash.sent_[fingerprint] = At(aTime - aSentBefore);
  }
  return crash;
}

// The rules of the instance that tries fingerprints after their block.
TryRules
RulesOfTrier()
{
  TryRules rules;
  rules.mayTry_ = [](Fingerprint) { return true; };
  rules.mayTest_ = [](Fingerprint, Duration, std::size_t) { return false; };
  return rules;
}

bool
IsBlocked(const CrashRecord& aRecord, Fingerprint aFingerprint, double aTime)
{
  return BlockedFor(aRecord, { aFingerprint }, RulesOfTrier(), At(aTime))
    .has_value();
}

CrashRecord
BlockedRecord()
{
  CrashRecord record;
  for (const int server : { 1, 2, 3 }) {
    AddCrash(
      record, CrashOf(server, server, { kCrashing, kShared }), At(server));
    AddAnswer(record, kShared, At(server + 0.2));
  }
  UpdateBlocks(record, At(4));
  return record;
}

} // namespace

Test(CrashRecord, BlocksWhatCrashedThreeServersAndNothingThatWasAnswered)
{
  CrashRecord record;
  for (const int server : { 1, 2, 3 }) {
    cr_expect_not(IsBlocked(record, kCrashing, server));
    AddCrash(
      record, CrashOf(server, server, { kCrashing, kShared }), At(server));
    AddAnswer(record, kShared, At(server + 0.2));
  }
  // Refused at once, and blocked when the evidence has settled.
  cr_expect(IsBlocked(record, kCrashing, 3));
  cr_expect(UpdateBlocks(record, At(3.1)).empty());
  const auto blocked = UpdateBlocks(record, At(4));
  cr_assert_eq(blocked.size(), 1);
  cr_expect_eq(blocked[0], kCrashing);
  cr_expect(IsBlocked(record, kCrashing, 100));
  cr_expect_not(IsBlocked(record, kShared, 4));
}

// Guards against blocks of requests that were sent again beside the one that
// crashes servers.
Test(CrashRecord, WhatWasOnlyBesideTheOneThatCrashesServersIsNotBlocked)
{
  CrashRecord record;
  for (const int server : { 1, 2, 3 }) {
    AddCrash(
      record, CrashOf(server, server, { kCrashing, kShared }), At(server));
  }
  AddCrash(record, CrashOf(4, 3.1, { kCrashing }), At(3.1));
  const auto blocked = UpdateBlocks(record, At(4));
  cr_assert_eq(blocked.size(), 1);
  cr_expect_eq(blocked[0], kCrashing);
  cr_expect_not(IsBlocked(record, kShared, 4));
}

// Guards against blocks of the sound requests that share a prompt part with one
// request that crashes servers.
Test(CrashRecord, ARequestIsBlockedRatherThanThePartsOfItsPrompt)
{
  CrashRecord record;
  const Fingerprint request =
    RequestFingerprint(http::RequestHead(), "body", "host", "workspace");
  for (const int server : { 1, 2, 3 }) {
    AddCrash(
      record, CrashOf(server, server, { kCrashing, request }), At(server));
  }
  const auto blocked = UpdateBlocks(record, At(4));
  cr_assert_eq(blocked.size(), 1);
  cr_expect_eq(blocked[0], request);
  // Another request with the part shows that it is the part.
  AddCrash(record, CrashOf(4, 4.5, { kCrashing }), At(4.5));
  const auto next = UpdateBlocks(record, At(5));
  cr_assert_eq(next.size(), 1);
  cr_expect_eq(next[0], kCrashing);
}

// Guards against sound requests that are refused for as long as deadly ones,
// because they share a part with them.
Test(CrashRecord, ARequestThatTellsTwoBlockedPartsApartIsTested)
{
  CrashRecord record;
  for (const int server : { 1, 2, 3 }) {
    AddCrash(
      record, CrashOf(server, server, { kCrashing, kShared }), At(server));
  }
  cr_assert_eq(UpdateBlocks(record, At(4)).size(), 2);
  TryRules rules = RulesOfTrier();
  rules.mayTest_ = [](Fingerprint, Duration, std::size_t) { return true; };
  const auto waitFor = [&](const std::vector<Fingerprint>& aFingerprints,
                           double aTime) {
    return BlockedFor(record, aFingerprints, rules, At(aTime))
      .value_or(Duration(0));
  };
  // The request with both parts shows nothing.
  cr_expect_gt(waitFor({ kCrashing, kShared }, 5), 60 * kSecond);
  cr_expect_eq(waitFor({ kShared }, 5), Duration(0));
  RecordTry(record, { kShared }, At(5));
  // The next one soon, unless the result is known by then.
  cr_expect_gt(waitFor({ kShared }, 5.5), Duration(0));
  cr_expect_leq(waitFor({ kShared }, 5.5), kSecond);
  cr_expect_eq(waitFor({ kShared }, 6.5), Duration(0));
  CrashRecord deadly = record;
  cr_expect(AddAnswer(record, kShared, At(7)));
  cr_expect_eq(waitFor({ kShared }, 7), Duration(0));
  cr_expect_gt(waitFor({ kCrashing, kShared }, 7), 60 * kSecond);
  // A crash with this part alone shows that it is the deadly one.
  AddCrash(deadly, CrashOf(4, 7, { kShared }), At(7));
  cr_expect_gt(BlockedFor(deadly, { kShared }, rules, At(9)).value(),
               60 * kSecond);
}

// Guards against deadly requests that are sent as tests because other requests
// ran on the servers that they crashed.
Test(CrashRecord, OtherRequestsOnCrashedServersDoNotMakeADeadlyOneATest)
{
  CrashRecord record;
  for (const int server : { 1, 2, 3 }) {
    Crash crash = CrashOf(server, server, { kCrashing, kShared });
    for (const std::uint64_t other : { 0x100, 0x200 }) {
      crash.sent_[Fingerprint(other + std::uint64_t(server))] =
        At(server - 0.3);
    }
    AddCrash(record, crash, At(server));
  }
  cr_assert_eq(UpdateBlocks(record, At(4)).size(), 2);
  TryRules rules = RulesOfTrier();
  rules.mayTest_ = [](Fingerprint, Duration, std::size_t) { return true; };
  const auto wait = BlockedFor(
    record, { kCrashing, kShared, Fingerprint(0x300) }, rules, At(5));
  cr_assert(wait.has_value());
  cr_expect_gt(*wait, 60 * kSecond);
  cr_expect_not(BlockedFor(record, { kShared }, rules, At(5)).has_value());
}

Test(CrashRecord, AnAnswerToARequestThatWasInProgressLiftsABlock)
{
  CrashRecord record = BlockedRecord();
  cr_expect_not(AddAnswer(record, kCrashing, At(0.5)));
  cr_expect(IsBlocked(record, kCrashing, 5));
  cr_expect(AddAnswer(record, kCrashing, At(5)));
  cr_expect_not(IsBlocked(record, kCrashing, 5));
  cr_expect(UpdateBlocks(record, At(6)).empty());
}

Test(CrashRecord, ServersThatAreLostTogetherCountOnce)
{
  CrashRecord record;
  for (int server = 0; server < 18; ++server) {
    AddCrash(
      record, CrashOf(server, 1 + server * 0.02, { kShared }, 0.6), At(2));
  }
  cr_expect_eq(CountCrashes(record, kShared), 1);
  cr_expect(UpdateBlocks(record, At(5)).empty());
}

Test(CrashRecord, ReportsThatComeTwiceOrLateCountOnce)
{
  CrashRecord record;
  cr_expect(AddCrash(record, CrashOf(2, 2, { kCrashing }), At(2)));
  cr_expect(AddCrash(record, CrashOf(1, 1, { kCrashing }), At(3)));
  cr_expect_not(AddCrash(record, CrashOf(1, 1.1, { kCrashing }), At(3)));
  cr_expect(AddCrash(record, CrashOf(1, 1.1, { kShared }), At(3)));
  cr_expect_eq(CountCrashes(record, kCrashing), 2);
  AddAnswer(record, kCrashing, At(1.5));
  cr_expect_eq(CountCrashes(record, kCrashing), 1);
}

Test(CrashRecord, OneInstanceTriesOnceAfterABlockAndTheNextBlockIsLonger)
{
  CrashRecord record = BlockedRecord();
  const auto block = record.blocks_[kCrashing];
  const double end = 4 + std::chrono::duration<double>(block.length_).count();
  cr_expect(IsBlocked(record, kCrashing, end - 1));
  cr_expect_not(IsBlocked(record, kCrashing, end + 1));
  TryRules rules = RulesOfTrier();
  rules.mayTry_ = [](Fingerprint) { return false; };
  cr_expect(BlockedFor(record, { kCrashing }, rules, At(end + 1)).has_value());
  RecordTry(record, { kCrashing }, At(end + 1));
  cr_expect(IsBlocked(record, kCrashing, end + 1));
  CrashRecord answered = record;
  AddCrash(record, CrashOf(9, end + 2, { kCrashing }), At(end + 2));
  cr_expect_eq(UpdateBlocks(record, At(end + 3)).size(), 1);
  cr_expect_eq(record.blocks_[kCrashing].length_, 2 * block.length_);
  cr_expect(IsBlocked(record, kCrashing, end + 100));
  // A complete answer lifts the block.
  cr_expect(AddAnswer(answered, kCrashing, At(end + 2)));
  cr_expect(UpdateBlocks(answered, At(end + 3)).empty());
  cr_expect_not(IsBlocked(answered, kCrashing, end + 3));
}

Test(CrashRecord, ABlockThatNobodyTriesIsForgotten)
{
  CrashRecord record = BlockedRecord();
  const double end =
    4 +
    std::chrono::duration<double>(record.blocks_[kCrashing].length_).count();
  cr_expect(UpdateBlocks(record, At(end + 61)).empty());
  cr_expect(record.blocks_.empty());
  cr_expect_not(IsBlocked(record, kCrashing, end + 62));
}

Test(CrashRecord, MemoryIsBounded)
{
  CrashRecord record;
  for (int server = 0; server < 1000; ++server) {
    std::vector<Fingerprint> many;
    for (std::uint64_t index = 0; index < 500; ++index) {
      many.emplace_back(std::uint64_t(server) * 1000 + index);
    }
    AddCrash(record, CrashOf(server, server * 0.1, many), At(server * 0.1));
    UpdateBlocks(record, At(server * 0.1));
  }
  cr_expect_leq(record.crashes_.size(), 64);
  for (const Crash& crash : record.crashes_) {
    cr_expect_leq(crash.sent_.size(), 128);
  }
  for (std::uint64_t index = 0; index < 1000; ++index) {
    AddBlock(record, Fingerprint(index), { At(1000), kSecond, At(998) });
  }
  cr_expect_leq(record.blocks_.size(), 64);
}

Test(CrashRecord, ABlockSurvivesInARowOfTheStore)
{
  const WallTime wall{ std::chrono::hours(400000) };
  const Block block{ At(90), 60 * kSecond, At(8) };
  const std::string row = EncodeBlock(block, At(10), wall);
  const auto read = DecodeBlock(row, At(500), wall + 20 * kSecond);
  cr_assert(read.has_value());
  cr_expect_eq(read->until_, At(560));
  cr_expect_eq(read->length_, block.length_);
  cr_expect_eq(read->lastCrash_, At(478));
  cr_expect_not(DecodeBlock(row, At(500), wall + 81 * kSecond).has_value());
  for (const char* odd : { "",
                           "[]",
                           "{}",
                           "{\"until_ms\":1e300,"
                           "\"length_ms\":1}",
                           "{\"until_ms\":18446744073709551615,"
                           "\"length_ms\":\"x\"}" }) {
    cr_expect_not(DecodeBlock(odd, At(1), wall).has_value(), "%s", odd);
  }
  cr_expect_not(ParseFingerprint("x").has_value());
  cr_expect_eq(*ParseFingerprint(ToText({ kCrashing })), kCrashing);
}
