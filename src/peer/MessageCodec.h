#pragma once

// The wire form of inner messages: a CBOR map with the type's name, the
// protocol version, the number that ties a reply to its call, and the body.

#include "base/Units.h"
#include "peer/Messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sycamoreward {

constexpr std::uint32_t kProtocolVersion = 1;

// Largest frame that is sent or accepted.
inline const Bytes kMaxFrameSize{ 16 * 1024 * 1024 };

struct Frame
{
  std::uint32_t protocol_ = kProtocolVersion;
  // Number of the call that this message makes or answers; 0 for a message
  // without a reply.
  std::uint64_t callId_ = 0;
  // Name of the message's type on the wire.
  std::string type_;
  // Empty when the type is unknown here.
  std::optional<Message> message_;
};

// Name on the wire of the alternative of Message at aIndex.
const char*
MessageTypeName(std::size_t aIndex);

// Throws UserError when the frame would exceed kMaxFrameSize.
std::string
EncodeMessage(const Message& aMessage, std::uint64_t aCallId);

// Unknown fields are ignored and missing ones keep their defaults. Throws
// UserError for bytes that are no message, a field of a wrong type, and a frame
// over kMaxFrameSize.
Frame
DecodeMessage(std::string_view aBytes);

} // namespace sycamoreward
