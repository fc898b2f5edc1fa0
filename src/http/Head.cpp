#include "http/Head.h"

#include "base/Error.h"

#include <algorithm>
#include <array>

namespace sycamoreward::http {

namespace {

// Any number of 18 digits fits into 64 bits.
constexpr std::size_t kMaxDecimalDigits = 18;
// More fields than any caller or backend server sends.
constexpr std::size_t kMaxFields = 128;

constexpr std::array<std::string_view, 8> kConnectionFields{
  "connection", "keep-alive",       "transfer-encoding", "te",
  "trailer",    "proxy-connection", "upgrade",           "proxy-authorization"
};

[[noreturn]] void
ThrowMalformed(const std::string& aMessage)
{
  throw UserError("parse head", "", aMessage);
}

char
Lower(char aCharacter)
{
  return aCharacter >= 'A' && aCharacter <= 'Z' ? char(aCharacter + 32)
                                                : aCharacter;
}

bool
IsTokenCharacter(char aCharacter)
{
  if ((aCharacter >= '0' && aCharacter <= '9') ||
      (Lower(aCharacter) >= 'a' && Lower(aCharacter) <= 'z')) {
    return true;
  }
  return aCharacter != 0 &&
         std::string_view("!#$%&'*+-.^_`|~").find(aCharacter) !=
           std::string_view::npos;
}

bool
IsToken(std::string_view aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), IsTokenCharacter);
}

std::string_view
Trim(std::string_view aText)
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == ' ' || aText.back() == '\t')) {
    aText.remove_suffix(1);
  }
  return aText;
}

// Removes the next line from aBytes and returns it without its line end.
std::string_view
TakeLine(std::string_view& aBytes)
{
  const std::size_t end = aBytes.find("\r\n");
  if (end == std::string_view::npos) {
    ThrowMalformed("A line of the head has no end.");
  }
  const std::string_view line = aBytes.substr(0, end);
  if (line.find_first_of(std::string_view("\r\n\0", 3)) !=
      std::string_view::npos) {
    ThrowMalformed(
      "A line of the head contains a bare line end or a zero byte.");
  }
  aBytes.remove_prefix(end + 2);
  return line;
}

HeaderField
ParseField(std::string_view aLine)
{
  if (aLine.front() == ' ' || aLine.front() == '\t') {
    ThrowMalformed("A header field is folded over two lines.");
  }
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos || !IsToken(aLine.substr(0, colon))) {
    ThrowMalformed("A header field has no valid name.");
  }
  const std::string_view value = Trim(aLine.substr(colon + 1));
  const bool isPrintable =
    std::all_of(value.begin(), value.end(), [](char aCharacter) {
      const auto byte = static_cast<unsigned char>(aCharacter);
      return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
    });
  if (!isPrintable) {
    ThrowMalformed("The value of a header field contains a control character.");
  }
  return { std::string(aLine.substr(0, colon)), std::string(value) };
}

void
ParseFields(std::string_view aBytes, MessageHead& aHead)
{
  while (true) {
    const std::string_view line = TakeLine(aBytes);
    if (line.empty()) {
      break;
    }
    if (aHead.fields_.size() >= kMaxFields) {
      ThrowMalformed("The head has more than 128 fields.");
    }
    aHead.fields_.push_back(ParseField(line));
  }
  if (!aBytes.empty()) {
    ThrowMalformed("Bytes follow the end of the head.");
  }
}

bool
ParseVersion(std::string_view aText)
{
  if (aText == "HTTP/1.1") {
    return true;
  }
  if (aText == "HTTP/1.0") {
    return false;
  }
  ThrowMalformed("The version is neither HTTP/1.1 nor HTTP/1.0.");
}

// The framing given by header fields, for requests and responses alike; empty
// if no field gives it.
std::optional<Framing>
ExplicitFraming(const MessageHead& aHead)
{
  const std::size_t encodings = aHead.Count("transfer-encoding");
  const std::size_t lengths = aHead.Count("content-length");
  if (encodings + lengths > 1) {
    ThrowMalformed("The length of the body is given more than once.");
  }
  if (encodings == 1) {
    if (!aHead.isHttp11_ ||
        !IsSameToken(*aHead.Find("transfer-encoding"), "chunked")) {
      ThrowMalformed("The transfer encoding is not chunked.");
    }
    return Framing{ BodyEnd::Chunked, 0 };
  }
  if (lengths == 1) {
    const auto length = ParseDecimal(*aHead.Find("content-length"));
    if (!length.has_value()) {
      ThrowMalformed("Content-Length is not a whole number.");
    }
    return Framing{ *length == 0 ? BodyEnd::None : BodyEnd::Length, *length };
  }
  return std::nullopt;
}

void
AppendFields(std::string& aText, const MessageHead& aHead)
{
  for (const HeaderField& field : aHead.fields_) {
    aText.append(field.name_).append(": ").append(field.value_).append("\r\n");
  }
  aText.append("\r\n");
}

} // namespace

const char*
ToText(BodyEnd aEnd)
{
  switch (aEnd) {
    case BodyEnd::None:
      return "none";
    case BodyEnd::Length:
      return "length";
    case BodyEnd::Chunked:
      return "chunked";
    case BodyEnd::Close:
      return "close";
  }
  return "unknown";
}

bool
IsSameToken(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    [](char aFirst, char aSecond) {
                      return Lower(aFirst) == Lower(aSecond);
                    });
}

const std::string*
MessageHead::Find(std::string_view aName) const
{
  const auto found = std::find_if(
    fields_.begin(), fields_.end(), [&](const HeaderField& aField) {
      return IsSameToken(aField.name_, aName);
    });
  return found == fields_.end() ? nullptr : &found->value_;
}

std::size_t
MessageHead::Count(std::string_view aName) const
{
  return std::size_t(std::count_if(
    fields_.begin(), fields_.end(), [&](const HeaderField& aField) {
      return IsSameToken(aField.name_, aName);
    }));
}

void
MessageHead::Remove(std::string_view aName)
{
  fields_.erase(std::remove_if(fields_.begin(),
                               fields_.end(),
                               [&](const HeaderField& aField) {
                                 return IsSameToken(aField.name_, aName);
                               }),
                fields_.end());
}

bool
MessageHead::HasConnectionToken(std::string_view aToken) const
{
  for (const HeaderField& field : fields_) {
    if (!IsSameToken(field.name_, "connection")) {
      continue;
    }
    std::string_view rest = field.value_;
    while (!rest.empty()) {
      const std::size_t comma = std::min(rest.find(','), rest.size());
      if (IsSameToken(Trim(rest.substr(0, comma)), aToken)) {
        return true;
      }
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return false;
}

std::size_t
FindHeadEnd(std::string_view aBytes)
{
  const std::size_t end = aBytes.find("\r\n\r\n");
  return end == std::string_view::npos ? end : end + 4;
}

bool
HasBareLineFeed(std::string_view aBytes)
{
  for (std::size_t at = aBytes.find('\n'); at != std::string_view::npos;
       at = aBytes.find('\n', at + 1)) {
    if (at == 0 || aBytes[at - 1] != '\r') {
      return true;
    }
  }
  return false;
}

RequestHead
ParseRequestHead(std::string_view aBytes)
{
  RequestHead head;
  const std::string_view line = TakeLine(aBytes);
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  if (first == std::string_view::npos || last == first) {
    ThrowMalformed("The request line has not three parts.");
  }
  head.method_ = line.substr(0, first);
  head.target_ = line.substr(first + 1, last - first - 1);
  head.isHttp11_ = ParseVersion(line.substr(last + 1));
  if (!IsToken(head.method_)) {
    ThrowMalformed("The method is not a token.");
  }
  const bool isValidTarget =
    std::all_of(head.target_.begin(), head.target_.end(), [](char aCharacter) {
      const auto byte = static_cast<unsigned char>(aCharacter);
      return byte > 0x20 && byte != 0x7f;
    });
  if (!isValidTarget || head.target_.front() != '/') {
    ThrowMalformed("The request target is not a path.");
  }
  ParseFields(aBytes, head);
  const std::size_t hosts = head.Count("host");
  if (hosts > 1 || (hosts == 0 && head.isHttp11_)) {
    ThrowMalformed("The request has not exactly one Host field.");
  }
  return head;
}

ResponseHead
ParseResponseHead(std::string_view aBytes)
{
  ResponseHead head;
  const std::string_view line = TakeLine(aBytes);
  // "HTTP/1.1 200", then a reason phrase that may be empty.
  constexpr std::size_t kStatusAt = 9;
  constexpr std::size_t kStatusEnd = 12;
  if (line.size() < kStatusEnd || line[kStatusAt - 1] != ' ' ||
      (line.size() > kStatusEnd && line[kStatusEnd] != ' ')) {
    ThrowMalformed("The status line is malformed.");
  }
  head.isHttp11_ = ParseVersion(line.substr(0, kStatusAt - 1));
  const auto status =
    ParseDecimal(line.substr(kStatusAt, kStatusEnd - kStatusAt));
  if (!status.has_value() || *status < 100 || *status > 599) {
    ThrowMalformed("The status is not a number from 100 to 599.");
  }
  head.status_ = int(*status);
  head.reason_ =
    line.substr(std::min<std::size_t>(kStatusEnd + 1, line.size()));
  ParseFields(aBytes, head);
  return head;
}

Framing
RequestFraming(const RequestHead& aHead)
{
  return ExplicitFraming(aHead).value_or(Framing{});
}

Framing
ResponseFraming(const ResponseHead& aHead, std::string_view aMethod)
{
  const auto framing = ExplicitFraming(aHead);
  const bool isBodiless = aMethod == "HEAD" || aHead.status_ < 200 ||
                          aHead.status_ == 204 || aHead.status_ == 304;
  if (isBodiless) {
    return Framing{};
  }
  return framing.value_or(Framing{ BodyEnd::Close, 0 });
}

bool
MayBeEventStream(const MessageHead& aHead)
{
  if (aHead.Find("content-encoding") != nullptr) {
    return false;
  }
  const std::string* value = aHead.Find("content-type");
  if (value == nullptr) {
    return true;
  }
  const std::string_view type = std::string_view(*value);
  return IsSameToken(Trim(type.substr(0, type.find(';'))), "text/event-stream");
}

void
RemoveConnectionFields(MessageHead& aHead)
{
  std::vector<HeaderField> kept;
  kept.reserve(aHead.fields_.size());
  for (HeaderField& field : aHead.fields_) {
    const bool isConnectionField = std::any_of(
      kConnectionFields.begin(),
      kConnectionFields.end(),
      [&](std::string_view aName) { return IsSameToken(field.name_, aName); });
    if (!isConnectionField && !aHead.HasConnectionToken(field.name_)) {
      kept.push_back(field);
    }
  }
  aHead.fields_ = std::move(kept);
}

std::string
Serialize(const RequestHead& aHead)
{
  std::string text = aHead.method_ + " " + aHead.target_ + " HTTP/1.1\r\n";
  AppendFields(text, aHead);
  return text;
}

std::string
Serialize(const ResponseHead& aHead)
{
  std::string text =
    "HTTP/1.1 " + std::to_string(aHead.status_) + " " + aHead.reason_ + "\r\n";
  AppendFields(text, aHead);
  return text;
}

std::optional<std::uint64_t>
ParseDecimal(std::string_view aText)
{
  if (aText.empty() || aText.size() > kMaxDecimalDigits) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  for (const char character : aText) {
    if (character < '0' || character > '9') {
      return std::nullopt;
    }
    number = number * 10 + std::uint64_t(character - '0');
  }
  return number;
}

} // namespace sycamoreward::http
