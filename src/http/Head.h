#pragma once

// Parsing and serialization of HTTP/1.1 message heads. The parsers reject any
// message that another recipient could interpret differently, because its body
// could smuggle a second request.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamoreward::http {

struct HeaderField
{
  std::string name_;
  std::string value_;
};

struct MessageHead
{
  std::vector<HeaderField> fields_;
  // False for HTTP/1.0.
  bool isHttp11_ = true;

  // The value of the first field named aName, ignoring case, or null if there
  // is none.
  const std::string* Find(std::string_view aName) const;
  // The number of fields named aName, ignoring case.
  std::size_t Count(std::string_view aName) const;
  // Removes all fields named aName, ignoring case.
  void Remove(std::string_view aName);
  // Whether a Connection field lists aToken, ignoring case.
  bool HasConnectionToken(std::string_view aToken) const;
};

struct RequestHead : MessageHead
{
  std::string method_;
  // Path and query as received.
  std::string target_;
};

struct ResponseHead : MessageHead
{
  int status_ = 0;
  std::string reason_;
};

// How the end of a body is determined.
enum class BodyEnd
{
  // There is no body.
  None,
  Length,
  Chunked,
  // The body ends when the connection is closed.
  Close
};

struct Framing
{
  BodyEnd end_ = BodyEnd::None;
  // Length of the body in bytes; used with BodyEnd::Length.
  std::uint64_t length_ = 0;
};

const char*
ToText(BodyEnd aEnd);

// Whether two names or tokens are equal, ignoring the case of ASCII letters.
bool
IsSameToken(std::string_view aLeft, std::string_view aRight);

// Offset just past the empty line that ends a head, or npos if the head is
// incomplete.
std::size_t
FindHeadEnd(std::string_view aBytes);

// Whether a line feed is not preceded by a carriage return. FindHeadEnd might
// never find the end of such a head.
bool
HasBareLineFeed(std::string_view aBytes);

// Parse a head including its terminating empty line. Both throw UserError for a
// malformed head.
RequestHead
ParseRequestHead(std::string_view aBytes);
ResponseHead
ParseResponseHead(std::string_view aBytes);

// The framing of a request body. Throws UserError when it is ambiguous.
Framing
RequestFraming(const RequestHead& aHead);

// The framing of the body of a response to a request with aMethod. Throws
// UserError when it is ambiguous.
Framing
ResponseFraming(const ResponseHead& aHead, std::string_view aMethod);

// Whether the body can be a plain stream of server-sent events: its type is
// that or is not given, and it has no content encoding.
bool
MayBeEventStream(const MessageHead& aHead);

// Removes the hop-by-hop fields: Connection and the fields that it names,
// Keep-Alive, Transfer-Encoding, TE, Trailer, Upgrade and the proxy fields.
void
RemoveConnectionFields(MessageHead& aHead);

std::string
Serialize(const RequestHead& aHead);
std::string
Serialize(const ResponseHead& aHead);

// Parses a non-negative decimal integer of at most 18 digits. Empty for
// anything else, such as signs or spaces.
std::optional<std::uint64_t>
ParseDecimal(std::string_view aText);

} // namespace sycamoreward::http
