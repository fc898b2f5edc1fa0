#pragma once

// Encodes and decodes messages between entry instances. Each frame is a CBOR
// map with the message type, the protocol version, the call id that matches a
// reply to its call, and the body.

#include "base/Units.h"
#include "peer/Messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sycamoreward {

constexpr std::uint32_t kProtocolVersion = 1;

// Maximum size of a frame that is sent or accepted.
inline const Bytes kMaxFrameSize{ 16 * 1024 * 1024 };

struct Frame
{
  std::uint32_t protocol_ = kProtocolVersion;
  // Id of the call that this message starts or answers; 0 for a message that
  // expects no reply.
  std::uint64_t callId_ = 0;
  // Wire name of the message type.
  std::string type_;
  // Empty when this version does not know the type.
  std::optional<Message> message_;
};

// Returns the wire name of the alternative of Message at aIndex.
const char*
MessageTypeName(std::size_t aIndex);

// Encodes aMessage as a frame. Throws UserError when the frame would exceed
// kMaxFrameSize.
std::string
EncodeMessage(const Message& aMessage, std::uint64_t aCallId);

// Decodes a frame. Unknown fields are ignored and missing fields keep their
// defaults. Throws UserError when aBytes are not a valid message, when a field
// has the wrong type, or when the frame exceeds kMaxFrameSize.
Frame
DecodeMessage(std::string_view aBytes);

} // namespace sycamoreward
