#include "recovery/EventBoundary.h"

namespace sycamoreward {

namespace {

// Handles the end of a line. Returns whether it is a boundary.
bool
EndLine(EventPosition& aPosition)
{
  const bool isBlank = aPosition.isAtLineStart_;
  const bool isBoundary =
    isBlank || (aPosition.isCommentLine_ && !aPosition.hasField_);
  if (isBlank && aPosition.hasField_) {
    ++aPosition.events_;
    aPosition.hasField_ = false;
  }
  aPosition.isAtLineStart_ = true;
  aPosition.isCommentLine_ = false;
  return isBoundary;
}

} // namespace

bool
IsBrokenOff(const StreamEnd& aEnd)
{
  const bool isEmpty = aEnd.position_.events_ == 0;
  return IsInsideEvent(aEnd.position_) || (isEmpty && !aEnd.isResumed_);
}

std::size_t
AdvanceEvents(EventPosition& aPosition, std::string_view aBytes)
{
  std::size_t boundary = 0;
  for (std::size_t at = 0; at < aBytes.size(); ++at) {
    const char byte = aBytes[at];
    const bool isAfterCarriageReturn = aPosition.isAfterCarriageReturn_;
    aPosition.isAfterCarriageReturn_ = byte == '\r';
    const bool isRestOfLineEnd = byte == '\n' && isAfterCarriageReturn;
    bool isBoundary = false;
    if (isRestOfLineEnd) {
      isBoundary = aPosition.partialBytes_ == 0;
    } else if (byte == '\n' || byte == '\r') {
      isBoundary = EndLine(aPosition);
    } else if (aPosition.isAtLineStart_) {
      aPosition.isAtLineStart_ = false;
      aPosition.isCommentLine_ = byte == ':';
      aPosition.hasField_ = aPosition.hasField_ || byte != ':';
    }
    if (isBoundary) {
      boundary = at + 1;
      aPosition.partialBytes_ = 0;
    } else {
      ++aPosition.partialBytes_;
    }
  }
  return boundary;
}

} // namespace sycamoreward
