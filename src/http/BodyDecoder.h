#pragma once

// Decodes the body of an HTTP message incrementally and finds its end.

#include "http/Head.h"

#include <string>
#include <string_view>

namespace sycamoreward::http {

class BodyDecoder
{
public:
  // How trailer fields are treated: refused in requests, where they could
  // smuggle header fields, and ignored in responses.
  enum class Trailer
  {
    Refused,
    Ignored
  };

  BodyDecoder() = default;
  BodyDecoder(const Framing& aFraming, Trailer aTrailer);

  // Appends the decoded content of aBytes to aOut and returns how many bytes
  // of aBytes belong to the body. Throws UserError for malformed chunks.
  std::size_t Decode(std::string_view aBytes, std::string& aOut);

  // Whether the body is complete. Never true with BodyEnd::Close.
  bool IsDone() const { return isDone_; }

private:
  enum class State
  {
    Size,
    SizeEnd,
    Data,
    DataEnd,
    Trailer
  };

  std::size_t DecodeChunked(std::string_view aBytes, std::string& aOut);
  // Processes one byte of the chunk framing.
  void ParseFramingByte(char aByte);
  void ParseSizeByte(char aByte);
  void ParseTrailerByte(char aByte);
  // Counts a byte of a chunk extension or of the trailer. Throws UserError
  // above their limit.
  void CountIgnoredByte();

  Framing framing_;
  Trailer trailer_ = Trailer::Refused;
  bool isDone_ = true;
  // Remaining content bytes of the body or of the current chunk.
  std::uint64_t remaining_ = 0;
  State state_ = State::Size;
  // Bytes read so far of the current chunk-size line or trailer line.
  std::size_t lineLength_ = 0;
  // Bytes of chunk extensions and of the trailer so far.
  std::size_t ignoredBytes_ = 0;
  bool isExtension_ = false;
  bool hasCarriageReturn_ = false;
};

} // namespace sycamoreward::http
