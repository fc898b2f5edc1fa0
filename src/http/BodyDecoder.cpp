#include "http/BodyDecoder.h"

#include "base/Error.h"

#include <algorithm>

namespace sycamoreward::http {

namespace {

// Eight hexadecimal digits: 4 GiB, above every limit of a body.
constexpr std::size_t kMostSizeDigits = 8;
// Bound of a chunk extension and of the trailer, in bytes.
constexpr std::size_t kMostLineBytes = 4096;

[[noreturn]] void
Malformed(const char* aMessage)
{
  throw UserError("parse body", "", aMessage);
}

int
HexDigit(char aByte)
{
  if (aByte >= '0' && aByte <= '9') {
    return aByte - '0';
  }
  if (aByte >= 'a' && aByte <= 'f') {
    return aByte - 'a' + 10;
  }
  if (aByte >= 'A' && aByte <= 'F') {
    return aByte - 'A' + 10;
  }
  return -1;
}

} // namespace

BodyDecoder::BodyDecoder(const Framing& aFraming, Trailer aTrailer)
  : framing_(aFraming)
  , trailer_(aTrailer)
  , isDone_(aFraming.end_ == BodyEnd::None)
  , left_(aFraming.end_ == BodyEnd::Length ? aFraming.length_ : 0)
{
}

std::size_t
BodyDecoder::Take(std::string_view aBytes, std::string& aOut)
{
  switch (framing_.end_) {
    case BodyEnd::None:
      return 0;
    case BodyEnd::Close:
      aOut.append(aBytes);
      return aBytes.size();
    case BodyEnd::Length: {
      const auto count =
        std::size_t(std::min<std::uint64_t>(left_, aBytes.size()));
      aOut.append(aBytes.substr(0, count));
      left_ -= count;
      isDone_ = left_ == 0;
      return count;
    }
    case BodyEnd::Chunked:
      return TakeChunked(aBytes, aOut);
  }
  return 0;
}

std::size_t
BodyDecoder::TakeChunked(std::string_view aBytes, std::string& aOut)
{
  std::size_t at = 0;
  while (at < aBytes.size() && !isDone_) {
    if (state_ == State::Data && left_ > 0) {
      const auto count =
        std::size_t(std::min<std::uint64_t>(left_, aBytes.size() - at));
      aOut.append(aBytes.substr(at, count));
      left_ -= count;
      at += count;
      if (left_ == 0) {
        state_ = State::DataEnd;
        hasReturn_ = false;
      }
    } else {
      TakeFramingByte(aBytes[at++]);
    }
  }
  return at;
}

void
BodyDecoder::TakeFramingByte(char aByte)
{
  switch (state_) {
    case State::Size:
      TakeSizeByte(aByte);
      return;
    case State::SizeEnd:
      if (aByte != '\n') {
        Malformed("The line of a chunk size does not end with CR LF.");
      }
      state_ = left_ == 0 ? State::Trailer : State::Data;
      lineLength_ = 0;
      hasReturn_ = false;
      return;
    case State::Data:
    case State::DataEnd:
      if (aByte != (hasReturn_ ? '\n' : '\r')) {
        Malformed("A chunk does not end with CR LF.");
      }
      if (hasReturn_) {
        state_ = State::Size;
        lineLength_ = 0;
        isExtension_ = false;
        left_ = 0;
      }
      hasReturn_ = !hasReturn_;
      return;
    case State::Trailer:
      TakeTrailerByte(aByte);
      return;
  }
}

void
BodyDecoder::TakeSizeByte(char aByte)
{
  if (aByte == '\r') {
    if (lineLength_ == 0) {
      Malformed("A chunk has no size.");
    }
    state_ = State::SizeEnd;
    return;
  }
  if (++lineLength_ > kMostLineBytes) {
    Malformed("A chunk extension is longer than 4096 bytes.");
  }
  if (isExtension_) {
    if (static_cast<unsigned char>(aByte) < 0x20 && aByte != '\t') {
      Malformed("A chunk extension contains a control character.");
    }
    return;
  }
  if (aByte == ';' && lineLength_ > 1) {
    isExtension_ = true;
    return;
  }
  const int digit = HexDigit(aByte);
  if (digit < 0 || lineLength_ > kMostSizeDigits) {
    Malformed("The size of a chunk is not a hexadecimal number.");
  }
  left_ = left_ * 16 + std::uint64_t(digit);
}

void
BodyDecoder::TakeTrailerByte(char aByte)
{
  if (hasReturn_) {
    if (aByte != '\n') {
      Malformed("A line of the trailer does not end with CR LF.");
    }
    hasReturn_ = false;
    if (lineLength_ == 0) {
      isDone_ = true;
    }
    lineLength_ = 0;
    return;
  }
  if (aByte == '\r') {
    hasReturn_ = true;
    return;
  }
  if (trailer_ == Trailer::Refused) {
    Malformed("The body is followed by trailer fields.");
  }
  if (aByte == '\n' || ++lineLength_ > kMostLineBytes) {
    Malformed("A line of the trailer is malformed.");
  }
}

} // namespace sycamoreward::http
