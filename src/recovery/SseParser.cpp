#include "recovery/SseParser.h"

#include <algorithm>

namespace sycamoreward {

namespace {

// Faster than find_first_of with both characters, which searches the set for
// each byte.
std::size_t
FindLineEnd(std::string_view aData)
{
  const std::size_t feed = aData.find('\n');
  return std::min(feed, aData.substr(0, feed).find('\r'));
}

} // namespace

bool
SseParser::Feed(std::string_view aData, std::vector<std::string>& aEvents)
{
  while (!aData.empty() && !isBroken_) {
    if (endedWithCr_) {
      // A line may end in CR LF, and the two characters may arrive in different
      // reads.
      endedWithCr_ = false;
      if (aData.front() == '\n') {
        aData.remove_prefix(1);
        continue;
      }
    }
    const std::size_t end = FindLineEnd(aData);
    const std::size_t length =
      end == std::string_view::npos ? aData.size() : end;
    if (line_.size() + length > maxEvent_.Value()) {
      isBroken_ = true;
      break;
    }
    line_.append(aData.substr(0, length));
    aData.remove_prefix(length);
    if (end != std::string_view::npos) {
      endedWithCr_ = aData.front() == '\r';
      aData.remove_prefix(1);
      isBroken_ = !EndLine(aEvents);
    }
  }
  return !isBroken_;
}

bool
SseParser::EndLine(std::vector<std::string>& aEvents)
{
  if (line_.empty()) {
    if (hasData_) {
      aEvents.push_back(std::move(data_));
      data_.clear();
      hasData_ = false;
    }
    return true;
  }
  // Other fields are ignored, since engines' streams use no comments, event
  // names or ids.
  if (line_.rfind("data:", 0) == 0) {
    const std::size_t start = line_.size() > 5 && line_[5] == ' ' ? 6 : 5;
    if (data_.size() + line_.size() > maxEvent_.Value()) {
      return false;
    }
    if (hasData_) {
      data_ += '\n';
    }
    data_.append(line_, start, std::string::npos);
    hasData_ = true;
  }
  line_.clear();
  return true;
}

} // namespace sycamoreward
