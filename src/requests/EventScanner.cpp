#include "requests/EventScanner.h"

#include <algorithm>

namespace sycamoreward {

namespace {

constexpr std::size_t kMaxDigits = 9;
constexpr unsigned kMaxDepth = 8;

bool
IsPlain(char aByte)
{
  const auto byte = static_cast<unsigned char>(aByte);
  return byte >= 0x20 && byte < 0x80 && aByte != '"' && aByte != '\\';
}

// The byte that stands for an escape of one letter; 0 for others.
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

// Each function returns false where the text is not of the usual form.
class Scanner
{
public:
  explicit Scanner(std::string_view aText)
    : text_(aText)
  {
  }

  bool IsAtEnd()
  {
    SkipSpace();
    return at_ == text_.size();
  }

  bool Take(char aByte)
  {
    SkipSpace();
    if (at_ == text_.size() || text_[at_] != aByte) {
      return false;
    }
    ++at_;
    return true;
  }

  bool Peek(char aByte)
  {
    SkipSpace();
    return at_ < text_.size() && text_[at_] == aByte;
  }

  bool TakeWord(std::string_view aWord)
  {
    SkipSpace();
    if (text_.compare(at_, aWord.size(), aWord) != 0) {
      return false;
    }
    at_ += aWord.size();
    return true;
  }

  bool TakeString(std::string& aValue)
  {
    aValue.clear();
    if (!Take('"')) {
      return false;
    }
    while (at_ < text_.size()) {
      const std::size_t start = at_;
      while (at_ < text_.size() && IsPlain(text_[at_])) {
        ++at_;
      }
      aValue.append(text_, start, at_ - start);
      if (at_ == text_.size()) {
        return false;
      }
      const char byte = text_[at_++];
      if (byte == '"') {
        return true;
      }
      const char meant =
        byte == '\\' && at_ < text_.size() ? Unescape(text_[at_++]) : '\0';
      if (meant == 0) {
        return false;
      }
      aValue += meant;
    }
    return false;
  }

  bool TakeCount(std::uint64_t& aValue)
  {
    SkipSpace();
    const std::size_t start = at_;
    aValue = 0;
    while (at_ < text_.size() && text_[at_] >= '0' && text_[at_] <= '9') {
      aValue = aValue * 10 + std::uint64_t(text_[at_] - '0');
      ++at_;
    }
    const std::size_t digits = at_ - start;
    const bool isFraction =
      at_ < text_.size() &&
      (text_[at_] == '.' || text_[at_] == 'e' || text_[at_] == 'E');
    return digits > 0 && digits <= kMaxDigits && !isFraction &&
           (digits == 1 || text_[start] != '0');
  }

  // Calls aOnField with each name; it takes the value.
  template<typename OnField>
  bool TakeObject(const OnField& aOnField)
  {
    std::string name;
    if (!Take('{')) {
      return false;
    }
    if (Take('}')) {
      return true;
    }
    do {
      if (!TakeString(name) || !Take(':') || !aOnField(name)) {
        return false;
      }
    } while (Take(','));
    return Take('}');
  }

  bool SkipValue(unsigned aDepth = 0)
  {
    if (aDepth > kMaxDepth) {
      return false;
    }
    if (Peek('"')) {
      return TakeString(skipped_);
    }
    if (Peek('{')) {
      return TakeObject(
        [&](const std::string&) { return SkipValue(aDepth + 1); });
    }
    if (Take('[')) {
      if (Take(']')) {
        return true;
      }
      do {
        if (!SkipValue(aDepth + 1)) {
          return false;
        }
      } while (Take(','));
      return Take(']');
    }
    std::uint64_t count = 0;
    return TakeWord("null") || TakeWord("true") || TakeWord("false") ||
           TakeCount(count);
  }

private:
  void SkipSpace()
  {
    while (at_ < text_.size() && (text_[at_] == ' ' || text_[at_] == '\n' ||
                                  text_[at_] == '\r' || text_[at_] == '\t')) {
      ++at_;
    }
  }

  std::string_view text_;
  std::size_t at_ = 0;
  std::string skipped_;
};

bool
TakeChoice(Scanner& aScanner, EngineEvent& aEvent)
{
  bool hasText = false;
  return aScanner.TakeObject([&](const std::string& aName) {
    if (aName == "text") {
      hasText = true;
      return aScanner.TakeString(aEvent.text_);
    }
    if (aName == "delta") {
      return aScanner.TakeObject([&](const std::string& aField) {
        // "text" comes before "delta" where an event has both.
        return aField == "content" && !hasText
                 ? aScanner.TakeString(aEvent.text_)
                 : aScanner.SkipValue();
      });
    }
    if (aName == "finish_reason") {
      if (aScanner.TakeWord("null")) {
        aEvent.finishReason_.reset();
        return true;
      }
      return aScanner.TakeString(aEvent.finishReason_.emplace());
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
  const bool isGood = scanner.TakeObject([&](const std::string& aName) {
    std::uint64_t count = 0;
    if (aName == "attempt") {
      ++attempts;
      const bool isCount = scanner.TakeCount(count);
      event.attempt_ = AttemptNumber(std::uint32_t(count));
      return isCount;
    }
    if (aName == "index") {
      ++indices;
      const bool isCount = scanner.TakeCount(count);
      event.index_ = PartIndex(count);
      return isCount;
    }
    if (aName == "choices") {
      ++choices;
      return scanner.Take('[') && TakeChoice(scanner, event) &&
             scanner.Take(']');
    }
    return scanner.SkipValue();
  });
  // Repeated names are left to the JSON parser.
  if (!isGood || !scanner.IsAtEnd() || attempts != 1 || indices != 1 ||
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
    if (IsPlain(byte)) {
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
