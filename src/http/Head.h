#pragma once

// Heads of HTTP/1.1 messages. The parsers refuse everything that another
// recipient could read differently, since such a message can carry a second
// request inside its body.

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

  // The value of the first field of that name, in any case; null without one.
  const std::string* Find(std::string_view aName) const;
  // Number of fields of that name, in any case.
  std::size_t Count(std::string_view aName) const;
  // Removes all fields of that name, in any case.
  void Remove(std::string_view aName);
  // Whether Connection contains aToken.
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

// How the end of a body is found.
enum class BodyEnd
{
  // There is no body.
  None,
  Length,
  Chunked,
  // The body ends with the connection.
  Close
};

struct Framing
{
  BodyEnd end_ = BodyEnd::None;
  // Bytes of the body, with BodyEnd::Length.
  std::uint64_t length_ = 0;
};

// Whether two names or tokens are equal but for the case of ASCII letters.
bool
IsSameToken(std::string_view aLeft, std::string_view aRight);

// Offset behind the empty line that ends a head, or npos while it is missing.
std::size_t
FindHeadEnd(std::string_view aBytes);

// Whether a line feed stands without a carriage return before it. Such a head
// might never end in the way that FindHeadEnd looks for.
bool
HasBareLineFeed(std::string_view aBytes);

// Parse a head including its empty line. Both throw UserError for a head that
// is malformed or has an ambiguous framing.
RequestHead
ParseRequestHead(std::string_view aBytes);
ResponseHead
ParseResponseHead(std::string_view aBytes);

// The framing of a request body. Throws UserError when it is ambiguous.
Framing
RequestFraming(const RequestHead& aHead);

// The framing of the body of an answer to a request with aMethod.
Framing
ResponseFraming(const ResponseHead& aHead, std::string_view aMethod);

// Removes the fields that concern a single connection: Connection and those
// that it names, Keep-Alive, Transfer-Encoding, TE, Trailer, Upgrade and the
// proxy fields.
void
RemoveConnectionFields(MessageHead& aHead);

std::string
Serialize(const RequestHead& aHead);
std::string
Serialize(const ResponseHead& aHead);

// A whole number in decimal digits only; empty for anything else.
std::optional<std::uint64_t>
ParseDecimal(std::string_view aText);

} // namespace sycamoreward::http
