#include "requests/EventScanner.h"

#include <algorithm>

namespace sycamoreward {

namespace {

constexpr std::size_t kMaxDigits = 9;
constexpr unsigned kMaxDepth = 8;

bool
// Returns whether a byte stands for itself in a JSON string.
IsUnescapedAscii(char aByte)
{
  const auto byte = static_cast<unsigned char>(aByte);
  return byte >= 0x20 && byte < 0x80 && aByte != '"' && aByte != '\\';
}

// Returns the byte for a single-letter escape, or 0 for other letters.
char
Unescape(char aLetter)
{
  switch (aLetter) {
    case '"':
    case '\\':
    case '/':
      return aLetter;
    case 'b':
      return '\b';
    case 'f':
      return '\f';
    case 'n':
      return '\n';
    case 'r':
      return '\r';
    case 't':
      return '\t';
    default:
      return 0;
  }
}

// Recursive-descent scanner. Each function returns false when the text does not
// have the expected form.
class Scanner
{
public:
  explicit Scanner(std::string_view aText)
    : text_(aText)
  {
  }

  bool IsAtEnd()
  {
    SkipWhitespace();
    return position_ == text_.size();
  }

  bool Consume(char aByte)
  {
    SkipWhitespace();
    if (position_ == text_.size() || text_[position_] != aByte) {
      return false;
    }
    ++position_;
    return true;
  }

  bool Peek(char aByte)
  {
    SkipWhitespace();
    return position_ < text_.size() && text_[position_] == aByte;
  }

  bool ConsumeLiteral(std::string_view aLiteral)
  {
    SkipWhitespace();
    if (text_.compare(position_, aLiteral.size(), aLiteral) != 0) {
      return false;
    }
    position_ += aLiteral.size();
    return true;
  }

  bool ParseString(std::string& aValue)
  {
    aValue.clear();
    if (!Consume('"')) {
      return false;
    }
    while (position_ < text_.size()) {
      const std::size_t start = position_;
      while (position_ < text_.size() && IsUnescapedAscii(text_[position_])) {
        ++position_;
      }
      aValue.append(text_, start, position_ - start);
      if (position_ == text_.size()) {
        return false;
      }
      const char byte = text_[position_++];
      if (byte == '"') {
        return true;
      }
      const char unescaped = byte == '\\' && position_ < text_.size()
                               ? Unescape(text_[position_++])
                               : '\0';
      if (unescaped == 0) {
        return false;
      }
      aValue += unescaped;
    }
    return false;
  }

  bool ParseUnsigned(std::uint64_t& aValue)
  {
    SkipWhitespace();
    const std::size_t start = position_;
    aValue = 0;
    while (position_ < text_.size() && text_[position_] >= '0' &&
           text_[position_] <= '9') {
      aValue = aValue * 10 + std::uint64_t(text_[position_] - '0');
      ++position_;
    }
    const std::size_t digits = position_ - start;
    const bool isFraction =
      position_ < text_.size() &&
      (text_[position_] == '.' || text_[position_] == 'e' ||
       text_[position_] == 'E');
    return digits > 0 && digits <= kMaxDigits && !isFraction &&
           (digits == 1 || text_[start] != '0');
  }

  // Calls aOnField with each field name; the callback consumes the value.
  template<typename OnField>
  bool ParseObject(const OnField& aOnField)
  {
    std::string name;
    if (!Consume('{')) {
      return false;
    }
    if (Consume('}')) {
      return true;
    }
    do {
      if (!ParseString(name) || !Consume(':') || !aOnField(name)) {
        return false;
      }
    } while (Consume(','));
    return Consume('}');
  }

  bool SkipValue(unsigned aDepth = 0)
  {
    if (aDepth > kMaxDepth) {
      return false;
    }
    if (Peek('"')) {
      return ParseString(skipped_);
    }
    if (Peek('{')) {
      return ParseObject(
        [&](const std::string&) { return SkipValue(aDepth + 1); });
    }
    if (Consume('[')) {
      if (Consume(']')) {
        return true;
      }
      do {
        if (!SkipValue(aDepth + 1)) {
          return false;
        }
      } while (Consume(','));
      return Consume(']');
    }
    std::uint64_t count = 0;
    return ConsumeLiteral("null") || ConsumeLiteral("true") ||
           ConsumeLiteral("false") || ParseUnsigned(count);
  }

private:
  void SkipWhitespace()
  {
    while (position_ < text_.size() &&
           (text_[position_] == ' ' || text_[position_] == '\n' ||
            text_[position_] == '\r' || text_[position_] == '\t')) {
      ++position_;
    }
  }

  std::string_view text_;
  std::size_t position_ = 0;
  std::string skipped_;
};

bool
ParseChoice(Scanner& aScanner, EngineEvent& aEvent)
{
  bool hasText = false;
  return aScanner.ParseObject([&](const std::string& aName) {
    if (aName == "text") {
      hasText = true;
      return aScanner.ParseString(aEvent.text_);
    }
    if (aName == "delta") {
      return aScanner.ParseObject([&](const std::string& aField) {
        // "text" takes precedence over "delta" when an event has both.
        return aField == "content" && !hasText
                 ? aScanner.ParseString(aEvent.text_)
                 : aScanner.SkipValue();
      });
    }
    if (aName == "finish_reason") {
      if (aScanner.ConsumeLiteral("null")) {
        aEvent.finishReason_.reset();
        return true;
      }
      return aScanner.ParseString(aEvent.finishReason_.emplace());
    }
    return aScanner.SkipValue();
  });
}

} // namespace

std::optional<EngineEvent>
ScanEngineEvent(std::string_view aData)
{
  Scanner scanner(aData);
  EngineEvent event;
  unsigned attempts = 0;
  unsigned indices = 0;
  unsigned choices = 0;
  const bool isValid = scanner.ParseObject([&](const std::string& aName) {
    std::uint64_t count = 0;
    if (aName == "attempt") {
      ++attempts;
      const bool isCount = scanner.ParseUnsigned(count);
      event.attempt_ = AttemptNumber(std::uint32_t(count));
      return isCount;
    }
    if (aName == "index") {
      ++indices;
      const bool isCount = scanner.ParseUnsigned(count);
      event.index_ = PartIndex(count);
      return isCount;
    }
    if (aName == "choices") {
      ++choices;
      return scanner.Consume('[') && ParseChoice(scanner, event) &&
             scanner.Consume(']');
    }
    return scanner.SkipValue();
  });
  // Events with repeated names are left to the JSON parser.
  if (!isValid || !scanner.IsAtEnd() || attempts != 1 || indices != 1 ||
      choices != 1) {
    return std::nullopt;
  }
  return event;
}

bool
AppendJsonString(std::string& aOut, std::string_view aText)
{
  const std::size_t before = aOut.size();
  aOut += '"';
  for (const char byte : aText) {
    if (IsUnescapedAscii(byte)) {
      aOut += byte;
      continue;
    }
    switch (byte) {
      case '"':
        aOut += "\\\"";
        break;
      case '\\':
        aOut += "\\\\";
        break;
      case '\n':
        aOut += "\\n";
        break;
      case '\t':
        aOut += "\\t";
        break;
      case '\r':
        aOut += "\\r";
        break;
      default:
        aOut.resize(before);
        return false;
    }
  }
  aOut += '"';
  return true;
}

} // namespace sycamoreward
