#pragma once

// Takes the bytes of a body off a connection and finds its end.

#include "http/Head.h"

#include <string>
#include <string_view>

namespace sycamoreward::http {

class BodyDecoder
{
public:
  // Trailer fields are refused in requests, where they can smuggle header
  // fields, and ignored in answers.
  enum class Trailer
  {
    Refused,
    Ignored
  };

  BodyDecoder() = default;
  BodyDecoder(const Framing& aFraming, Trailer aTrailer);

  // Appends the content in aBytes to aOut and returns how many bytes of
  // aBytes belong to the body. Throws UserError for a malformed chunk.
  std::size_t Decode(std::string_view aBytes, std::string& aOut);

  // Whether the whole body was taken. Never true with BodyEnd::Close.
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
  // Handles one byte that is not content.
  void ParseFramingByte(char aByte);
  void ParseSizeByte(char aByte);
  void ParseTrailerByte(char aByte);

  Framing framing_;
  Trailer trailer_ = Trailer::Refused;
  bool isDone_ = true;
  // Content bytes still to come, of the body or of the current chunk.
  std::uint64_t remaining_ = 0;
  State state_ = State::Size;
  // Digits of the chunk size so far, or bytes of a framing line.
  std::size_t lineLength_ = 0;
  bool isExtension_ = false;
  bool hasCarriageReturn_ = false;
};

} // namespace sycamoreward::http
