#include "settings/YamlDocument.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

// Tag that yaml-cpp gives to quoted scalars.
const std::string kQuotedTag = "!";

bool
ReadInteger(const std::string& aText, Json& aResult)
{
  const std::size_t first = aText[0] == '-' ? 1 : 0;
  // A leading zero would be octal to some readers; such a value stays text.
  if (aText.size() == first ||
      (aText[first] == '0' && aText.size() > first + 1)) {
    return false;
  }
  std::int64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || rest != end) {
    return false;
  }
  aResult = number;
  return true;
}

bool
ReadNumber(const std::string& aText, Json& aResult)
{
  if (aText.find_first_not_of("0123456789.eE+-") != std::string::npos ||
      aText.find_first_of("0123456789") == std::string::npos) {
    return false;
  }
  double number = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || rest != end || !std::isfinite(number)) {
    return false;
  }
  aResult = number;
  return true;
}

// Types of plain scalars by the core schema of YAML 1.2, decimal only.
Json
ReadScalar(const std::string& aTag, const std::string& aText)
{
  Json result;
  if (aTag == kQuotedTag) {
    return aText;
  }
  if (aText.empty() || aText == "~" || aText == "null") {
    return nullptr;
  }
  if (aText == "true" || aText == "false") {
    return aText == "true";
  }
  if (ReadInteger(aText, result) || ReadNumber(aText, result)) {
    return result;
  }
  return aText;
}

// An object or a list that is being read.
struct Level
{
  Json value_;
  std::string path_;
  // Key whose value comes next; set when hasKey_.
  std::string key_;
  bool hasKey_ = false;
  bool isDuplicate_ = false;
};

class Builder final : public YAML::EventHandler
{
public:
  Builder(const std::string& aFile, YamlFile& aResult)
    : file_(aFile)
    , result_(aResult)
  {
  }

  // Offset of the document that was read last.
  int Start() const { return start_; }

  void OnDocumentStart(const YAML::Mark& aMark) override
  {
    start_ = aMark.pos;
    document_ = {};
    document_.file_ = file_;
    levels_.clear();
    skipped_ = 0;
    hasRoot_ = false;
  }

  void OnDocumentEnd() override
  {
    if (hasRoot_ && !document_.value_.is_null()) {
      result_.documents_.push_back(document_);
    }
  }

  void OnNull(const YAML::Mark& aMark, YAML::anchor_t /*aAnchor*/) override
  {
    Take(nullptr, aMark, "null");
  }

  void OnAlias(const YAML::Mark& aMark, YAML::anchor_t /*aAnchor*/) override
  {
    AddFault(aMark, "An alias (*name) is not allowed; write the value out.");
    Take(nullptr, aMark, "alias");
  }

  void OnScalar(const YAML::Mark& aMark,
                const std::string& aTag,
                YAML::anchor_t /*aAnchor*/,
                const std::string& aText) override
  {
    Take(ReadScalar(aTag, aText), aMark, aText);
  }

  void OnSequenceStart(const YAML::Mark& aMark,
                       const std::string& /*aTag*/,
                       YAML::anchor_t /*aAnchor*/,
                       YAML::EmitterStyle::value /*aStyle*/) override
  {
    Open(Json::array(), aMark);
  }

  void OnSequenceEnd() override { Close(); }

  void OnMapStart(const YAML::Mark& aMark,
                  const std::string& /*aTag*/,
                  YAML::anchor_t /*aAnchor*/,
                  YAML::EmitterStyle::value /*aStyle*/) override
  {
    Open(Json::object(), aMark);
  }

  void OnMapEnd() override { Close(); }

private:
  static unsigned Line(const YAML::Mark& aMark)
  {
    return static_cast<unsigned>(aMark.line + 1);
  }

  void AddFault(const YAML::Mark& aMark, const std::string& aMessage)
  {
    result_.faults_.push_back({ file_, { NextPath(), aMessage, Line(aMark) } });
  }

  std::string NextPath() const
  {
    if (levels_.empty()) {
      return "";
    }
    const Level& level = levels_.back();
    if (level.value_.is_array()) {
      return level.path_ + "[" + std::to_string(level.value_.size()) + "]";
    }
    if (!level.hasKey_) {
      return level.path_;
    }
    return level.path_.empty() ? level.key_ : level.path_ + "." + level.key_;
  }

  bool IsKeyNext() const
  {
    return !levels_.empty() && levels_.back().value_.is_object() &&
           !levels_.back().hasKey_;
  }

  void TakeKey(const YAML::Mark& aMark, const std::string& aKey)
  {
    Level& level = levels_.back();
    level.key_ = aKey;
    level.hasKey_ = true;
    level.isDuplicate_ = level.value_.contains(aKey);
    const std::string path = NextPath();
    const auto [entry, isNew] = document_.lines_.emplace(path, Line(aMark));
    if (level.isDuplicate_) {
      AddFault(aMark,
               "The key \"" + aKey + "\" is written twice, first on line " +
                 std::to_string(entry->second) + "; keep one of them.");
    }
  }

  void Put(Json aValue)
  {
    if (levels_.empty()) {
      document_.value_ = std::move(aValue);
      hasRoot_ = true;
      return;
    }
    Level& level = levels_.back();
    if (level.value_.is_array()) {
      level.value_.push_back(std::move(aValue));
      return;
    }
    // The first value of a duplicate key stays.
    if (!level.isDuplicate_) {
      level.value_[level.key_] = std::move(aValue);
    }
    level.hasKey_ = false;
  }

  void Take(Json aValue, const YAML::Mark& aMark, const std::string& aText)
  {
    if (skipped_ > 0) {
      return;
    }
    if (IsKeyNext()) {
      TakeKey(aMark, aText);
      return;
    }
    Mark(aMark);
    Put(std::move(aValue));
  }

  void Mark(const YAML::Mark& aMark)
  {
    if (levels_.empty()) {
      document_.line_ = Line(aMark);
    }
    document_.lines_.emplace(NextPath(), Line(aMark));
  }

  // What is skipped still calls Close, so its depth is counted.
  void Open(Json aEmpty, const YAML::Mark& aMark)
  {
    if (skipped_ > 0) {
      ++skipped_;
      return;
    }
    if (IsKeyNext()) {
      AddFault(aMark, "A key is a list or an object; write a name as key.");
      TakeKey(aMark, "(key)");
      skipped_ = 1;
      return;
    }
    if (levels_.size() >= kMaxYamlDepth) {
      AddFault(aMark,
               "The document is nested deeper than " +
                 std::to_string(kMaxYamlDepth) + " levels; make it flatter.");
      Put(nullptr);
      skipped_ = 1;
      return;
    }
    Mark(aMark);
    Level level;
    level.value_ = std::move(aEmpty);
    level.path_ = NextPath();
    levels_.push_back(std::move(level));
  }

  void Close()
  {
    if (skipped_ > 0) {
      --skipped_;
      return;
    }
    Json value = std::move(levels_.back().value_);
    levels_.pop_back();
    Put(std::move(value));
  }

  std::string file_;
  YamlFile& result_;
  YamlDocument document_;
  std::vector<Level> levels_;
  // Open lists and objects that are being skipped.
  std::size_t skipped_ = 0;
  bool hasRoot_ = false;
  int start_ = 0;
};

} // namespace

std::string
ToString(const FileFault& aFault)
{
  std::string text = aFault.file_;
  if (aFault.error_.line_ > 0) {
    text += ":" + std::to_string(aFault.error_.line_);
  }
  if (!aFault.error_.field_.empty()) {
    text += ": " + aFault.error_.field_;
  }
  return text + ": " + aFault.error_.message_;
}

YamlFile
ParseYaml(const std::string& aFile, const std::string& aText)
{
  YamlFile result;
  std::istringstream input(aText);
  try {
    YAML::Parser parser(input);
    Builder builder(aFile, result);
    int last = -1;
    while (parser.HandleNextDocument(builder)) {
      // yaml-cpp stays at a token that begins no node, such as a comma, and
      // reports an empty document there again and again.
      if (builder.Start() <= last) {
        throw YAML::ParserException(YAML::Mark::null_mark(),
                                    "a token begins no document");
      }
      last = builder.Start();
    }
  } catch (const YAML::Exception& error) {
    const auto line =
      error.mark.is_null() ? 0U : static_cast<unsigned>(error.mark.line + 1);
    result.faults_.push_back(
      { aFile,
        { "", "The text is not valid YAML: " + error.msg + ".", line } });
  }
  return result;
}

YamlFile
LoadYaml(const std::string& aFile)
{
  std::ifstream input(aFile, std::ios::binary);
  std::string text(kMaxYamlBytes + 1, '\0');
  input.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (!input.is_open() || input.bad() || (input.fail() && !input.eof())) {
    YamlFile result;
    result.faults_.push_back(
      { aFile,
        { "", "The file can't be read; check its name and its rights.", 0 } });
    return result;
  }
  text.resize(static_cast<std::size_t>(input.gcount()));
  if (text.size() > kMaxYamlBytes) {
    YamlFile result;
    result.faults_.push_back(
      { aFile,
        { "",
          "The file is longer than " + std::to_string(kMaxYamlBytes) +
            " bytes; split it.",
          0 } });
    return result;
  }
  return ParseYaml(aFile, text);
}

unsigned
LineOf(const YamlDocument& aDocument, const std::string& aField)
{
  std::string path = aField;
  while (!path.empty()) {
    const auto found = aDocument.lines_.find(path);
    if (found != aDocument.lines_.end()) {
      return found->second;
    }
    const auto cut = path.find_last_of(".[");
    path = cut == std::string::npos ? "" : path.substr(0, cut);
  }
  return aDocument.line_;
}

void
AddFaults(const YamlDocument& aDocument,
          const std::vector<FieldError>& aErrors,
          std::vector<FileFault>& aFaults)
{
  for (const FieldError& error : aErrors) {
    FileFault fault{ aDocument.file_, error };
    fault.error_.line_ = LineOf(aDocument, error.field_);
    const auto isSame = [&](const FileFault& aOther) {
      return aOther.file_ == fault.file_ &&
             aOther.error_.field_ == error.field_ &&
             aOther.error_.line_ == fault.error_.line_;
    };
    if (std::none_of(aFaults.begin(), aFaults.end(), isSame)) {
      aFaults.push_back(std::move(fault));
    }
  }
}

} // namespace sycamoreward
