#include "edge/BlockRows.h"

#include "base/DurationUnits.h"
#include "edge/CrashReports.h"
#include "runtime/EventLoop.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sycamoreward::edge {

namespace {

constexpr const char* kTable = "blocks";
constexpr Duration kRetryDelay = std::chrono::milliseconds(400);
// Bounds the time that a row can set.
constexpr std::int64_t kMaxMs = 24 * 60 * 60 * 1000;

std::int64_t
WallMs(WallTime aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           aTime.time_since_epoch())
    .count();
}

} // namespace

std::string
EncodeBlock(const Block& aBlock, MonotonicTime aNow, WallTime aWall)
{
  const auto left = std::int64_t(Milliseconds(aBlock.until_ - aNow));
  const auto crashAge = std::int64_t(Milliseconds(aNow - aBlock.lastCrash_));
  return nlohmann::json{
    { "until_ms", WallMs(aWall) + left },
    { "length_ms", std::int64_t(Milliseconds(aBlock.length_)) },
    { "last_crash_ms", WallMs(aWall) - crashAge }
  }.dump();
}

std::optional<Block>
DecodeBlock(const std::string& aValue, MonotonicTime aNow, WallTime aWall)
{
  const auto json = nlohmann::json::parse(aValue, nullptr, false);
  if (!json.is_object() || !json.contains("until_ms") ||
      !json.contains("length_ms") || !json["until_ms"].is_number_integer() ||
      !json["length_ms"].is_number_integer()) {
    return std::nullopt;
  }
  const auto until = json["until_ms"].get<std::int64_t>();
  const std::int64_t wall = WallMs(aWall);
  if (until <= wall || until > wall + kMaxMs) {
    return std::nullopt;
  }
  Block block;
  block.until_ = aNow + std::chrono::milliseconds(until - wall);
  block.length_ = std::chrono::milliseconds(
    std::clamp<std::int64_t>(json["length_ms"].get<std::int64_t>(), 0, kMaxMs));
  block.lastCrash_ = block.until_ - block.length_;
  const auto crash = json.find("last_crash_ms");
  if (crash != json.end() && crash->is_number_integer()) {
    const auto at = std::clamp(crash->get<std::int64_t>(), wall - kMaxMs, wall);
    block.lastCrash_ = aNow - std::chrono::milliseconds(wall - at);
  }
  return block;
}

BlockRows::BlockRows(EdgeState& aState, RowStore& aStore)
  : state_(aState)
  , store_(aStore)
{
  state_.onBlocked_ = [this](Fingerprint aFingerprint) {
    // One instance writes for all, unless it can't reach the others.
    if (MayTry(state_, aFingerprint)) {
      unwritten_[aFingerprint] = state_.crashes_.record_.blocks_[aFingerprint];
      Write();
    }
  };
  Read("");
}

BlockRows::~BlockRows()
{
  state_.onBlocked_ = nullptr;
  state_.loop_.CancelTimer(readTimer_);
  state_.loop_.CancelTimer(writeTimer_);
}

void
BlockRows::Read(const std::string& aAfter)
{
  store_.Read(kTable, aAfter, [this, aAfter](const StoreReply& aReply) {
    if (aReply.status_ != StoreStatus::Ok) {
      readTimer_ =
        state_.loop_.CallAfter(kRetryDelay, [this, aAfter] { Read(aAfter); });
      return;
    }
    const MonotonicTime now = state_.loop_.GetClock().Now();
    for (const StoreRow& row : aReply.rows_) {
      const auto block = DecodeBlock(row.value_, now, state_.AgreedWall());
      const auto fingerprint = ParseFingerprint(row.key_);
      if (block.has_value() && fingerprint.has_value()) {
        AddBlock(state_.crashes_.record_, *fingerprint, *block);
      }
    }
    if (aReply.hasMore_ && !aReply.rows_.empty()) {
      Read(aReply.rows_.back().key_);
    }
  });
}

void
BlockRows::Write()
{
  if (isWriting_ || unwritten_.empty()) {
    return;
  }
  isWriting_ = true;
  StoreWrite write;
  const MonotonicTime now = state_.loop_.GetClock().Now();
  for (const auto& [fingerprint, block] : unwritten_) {
    write.rows_.push_back({ kTable,
                            ToText({ fingerprint }),
                            EncodeBlock(block, now, state_.AgreedWall()),
                            0,
                            false });
  }
  const auto written = std::move(unwritten_);
  unwritten_.clear();
  store_.Write(write, [this, written](const StoreReply& aReply) {
    isWriting_ = false;
    if (aReply.status_ == StoreStatus::Ok) {
      Write();
      return;
    }
    // A newer block of the same fingerprint stays.
    unwritten_.insert(written.begin(), written.end());
    writeTimer_ = state_.loop_.CallAfter(kRetryDelay, [this] { Write(); });
  });
}

} // namespace sycamoreward::edge
