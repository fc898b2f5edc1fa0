#include "http/BodyDecoder.h"

#include "base/Error.h"

#include <algorithm>

namespace sycamoreward::http {

namespace {

// Eight hexadecimal digits allow 4 GiB, more than any body size limit.
constexpr std::size_t kMaxChunkSizeDigits = 8;
// Maximum length of a chunk-size line with its extension, and of a trailer
// line, in bytes.
constexpr std::size_t kMaxFramingLineBytes = 4096;
// Maximum length of all chunk extensions and trailer lines of a body, in bytes.
// They can be sent without end and carry nothing that is passed on.
constexpr std::size_t kMaxIgnoredBytes = 64 * 1024;

[[noreturn]] void
ThrowMalformed(const char* aMessage)
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
  , remaining_(aFraming.end_ == BodyEnd::Length ? aFraming.length_ : 0)
{
}

std::size_t
BodyDecoder::Decode(std::string_view aBytes, std::string& aOut)
{
  switch (framing_.end_) {
    case BodyEnd::None:
      return 0;
    case BodyEnd::Close:
      aOut.append(aBytes);
      return aBytes.size();
    case BodyEnd::Length: {
      const auto count =
        std::size_t(std::min<std::uint64_t>(remaining_, aBytes.size()));
      aOut.append(aBytes.substr(0, count));
      remaining_ -= count;
      isDone_ = remaining_ == 0;
      return count;
    }
    case BodyEnd::Chunked:
      return DecodeChunked(aBytes, aOut);
  }
  return 0;
}

std::size_t
BodyDecoder::DecodeChunked(std::string_view aBytes, std::string& aOut)
{
  std::size_t at = 0;
  while (at < aBytes.size() && !isDone_) {
    if (state_ == State::Data && remaining_ > 0) {
      const auto count =
        std::size_t(std::min<std::uint64_t>(remaining_, aBytes.size() - at));
      aOut.append(aBytes.substr(at, count));
      remaining_ -= count;
      at += count;
      if (remaining_ == 0) {
        state_ = State::DataEnd;
        hasCarriageReturn_ = false;
      }
    } else {
      ParseFramingByte(aBytes[at++]);
    }
  }
  return at;
}

void
BodyDecoder::ParseFramingByte(char aByte)
{
  switch (state_) {
    case State::Size:
      ParseSizeByte(aByte);
      return;
    case State::SizeEnd:
      if (aByte != '\n') {
        ThrowMalformed("The line of a chunk size does not end with CR LF.");
      }
      state_ = remaining_ == 0 ? State::Trailer : State::Data;
      lineLength_ = 0;
      hasCarriageReturn_ = false;
      return;
    case State::Data:
    case State::DataEnd:
      if (aByte != (hasCarriageReturn_ ? '\n' : '\r')) {
        ThrowMalformed("A chunk does not end with CR LF.");
      }
      if (hasCarriageReturn_) {
        state_ = State::Size;
        lineLength_ = 0;
        isExtension_ = false;
        remaining_ = 0;
      }
      hasCarriageReturn_ = !hasCarriageReturn_;
      return;
    case State::Trailer:
      ParseTrailerByte(aByte);
      return;
  }
}

void
BodyDecoder::ParseSizeByte(char aByte)
{
  if (aByte == '\r') {
    if (lineLength_ == 0) {
      ThrowMalformed("A chunk has no size.");
    }
    state_ = State::SizeEnd;
    return;
  }
  if (++lineLength_ > kMaxFramingLineBytes) {
    ThrowMalformed("A chunk extension is longer than 4096 bytes.");
  }
  if (isExtension_) {
    CountIgnoredByte();
    if (static_cast<unsigned char>(aByte) < 0x20 && aByte != '\t') {
      ThrowMalformed("A chunk extension contains a control character.");
    }
    return;
  }
  if (aByte == ';' && lineLength_ > 1) {
    isExtension_ = true;
    return;
  }
  const int digit = HexDigit(aByte);
  if (digit < 0 || lineLength_ > kMaxChunkSizeDigits) {
    ThrowMalformed("The size of a chunk is not a hexadecimal number.");
  }
  remaining_ = remaining_ * 16 + std::uint64_t(digit);
}

void
BodyDecoder::CountIgnoredByte()
{
  if (++ignoredBytes_ > kMaxIgnoredBytes) {
    ThrowMalformed(
      "Chunk extensions and trailer fields exceed 65536 bytes in all.");
  }
}

void
BodyDecoder::ParseTrailerByte(char aByte)
{
  CountIgnoredByte();
  if (hasCarriageReturn_) {
    if (aByte != '\n') {
      ThrowMalformed("A line of the trailer does not end with CR LF.");
    }
    hasCarriageReturn_ = false;
    if (lineLength_ == 0) {
      isDone_ = true;
    }
    lineLength_ = 0;
    return;
  }
  if (aByte == '\r') {
    hasCarriageReturn_ = true;
    return;
  }
  if (trailer_ == Trailer::Refused) {
    ThrowMalformed("The body is followed by trailer fields.");
  }
  if (aByte == '\n' || ++lineLength_ > kMaxFramingLineBytes) {
    ThrowMalformed("A line of the trailer is malformed.");
  }
}

} // namespace sycamoreward::http
