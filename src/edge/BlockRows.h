#pragma once

// Keeps the blocked fingerprints in the platform's store, so that instances
// which all start again at once still know them.

#include "edge/EdgeState.h"
#include "edge/RowStore.h"

#include <map>
#include <optional>
#include <string>

namespace sycamoreward::edge {

// Encodes a block as a row, with the wall time of its end.
std::string
EncodeBlock(const Block& aBlock, MonotonicTime aNow, WallTime aWall);

// Returns nothing if the row is malformed or the block is over.
std::optional<Block>
DecodeBlock(const std::string& aValue, MonotonicTime aNow, WallTime aWall);

class BlockRows
{
public:
  // Reads the rows that are there, and writes the blocks that are decided from
  // now on.
  BlockRows(EdgeState& aState, RowStore& aStore);
  ~BlockRows();
  BlockRows(const BlockRows&) = delete;
  BlockRows& operator=(const BlockRows&) = delete;

private:
  void Read(const std::string& aAfter);
  void Write();

  EdgeState& state_;
  RowStore& store_;
  // Blocks that have not been written yet, and whether a write is in progress.
  std::map<Fingerprint, Block> unwritten_;
  bool isWriting_ = false;
  std::uint64_t readTimer_ = 0;
  std::uint64_t writeTimer_ = 0;
};

} // namespace sycamoreward::edge
