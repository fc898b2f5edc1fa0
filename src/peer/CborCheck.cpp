#include "peer/CborCheck.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sycamoreward {

namespace {

// The first byte of an item holds the major type in its upper 3 bits, followed
// by the argument or the length of the argument (RFC 8949, section 3).
constexpr unsigned kTextType = 3;
constexpr unsigned kBytesType = 2;
constexpr unsigned kArrayType = 4;
constexpr unsigned kMapType = 5;
constexpr unsigned kTagType = 6;
constexpr unsigned kFirstLongArgument = 24;
constexpr unsigned kLastLongArgument = 27;

struct Head
{
  unsigned type_ = 0;
  std::uint64_t argument_ = 0;
};

std::optional<Head>
ParseHead(std::string_view& aRest)
{
  if (aRest.empty()) {
    return std::nullopt;
  }
  const unsigned first = static_cast<unsigned char>(aRest.front());
  aRest.remove_prefix(1);
  Head head{ first >> 5U, first & 0x1FU };
  if (head.argument_ < kFirstLongArgument) {
    return head;
  }
  if (head.argument_ > kLastLongArgument) {
    return std::nullopt;
  }
  const std::size_t size = std::size_t(1)
                           << (head.argument_ - kFirstLongArgument);
  if (aRest.size() < size) {
    return std::nullopt;
  }
  head.argument_ = 0;
  for (std::size_t at = 0; at < size; ++at) {
    head.argument_ =
      (head.argument_ << 8U) | static_cast<unsigned char>(aRest[at]);
  }
  aRest.remove_prefix(size);
  return head;
}

} // namespace

bool
IsSupportedCbor(std::string_view aBytes)
{
  // Number of items still expected on each open nesting level.
  std::vector<std::uint64_t> pendingItems{ 1 };
  while (!pendingItems.empty()) {
    if (pendingItems.back() == 0) {
      pendingItems.pop_back();
      continue;
    }
    --pendingItems.back();
    const auto head = ParseHead(aBytes);
    if (!head || head->type_ == kTagType) {
      return false;
    }
    const bool isCounted = head->type_ >= kBytesType && head->type_ <= kMapType;
    if (isCounted && head->argument_ > aBytes.size()) {
      return false;
    }
    if (head->type_ == kBytesType || head->type_ == kTextType) {
      aBytes.remove_prefix(head->argument_);
    } else if (head->type_ == kArrayType || head->type_ == kMapType) {
      if (pendingItems.size() > kMaxCborDepth) {
        return false;
      }
      pendingItems.push_back(head->argument_ *
                             (head->type_ == kMapType ? 2 : 1));
    }
  }
  return aBytes.empty();
}

} // namespace sycamoreward
