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

// Tag that yaml-cpp assigns to quoted scalars.
const std::string kQuotedTag = "!";

bool
ReadInteger(const std::string& aText, Json& aResult)
{
  const std::size_t first = aText[0] == '-' ? 1 : 0;
  // Some YAML readers parse a leading zero as octal; such a value stays a
  // string.
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

// Converts a scalar. Plain scalars get their type by the core schema of YAML
// 1.2, with decimal numbers only.
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

// An object or a list that is currently being read.
struct Container
{
  Json value_;
  std::string path_;
  // Key of the next value; set if hasKey_.
  std::string key_;
  bool hasKey_ = false;
  bool isDuplicate_ = false;
};

class DocumentBuilder final : public YAML::EventHandler
{
public:
  DocumentBuilder(const std::string& aFile, YamlFile& aResult)
    : file_(aFile)
    , result_(aResult)
  {
  }

  // Offset of the most recent document in the text.
  int DocumentOffset() const { return documentOffset_; }

  void OnDocumentStart(const YAML::Mark& aMark) override
  {
    documentOffset_ = aMark.pos;
    document_ = {};
    document_.file_ = file_;
    containers_.clear();
    skippedDepth_ = 0;
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
    AddValue(nullptr, aMark, "null");
  }

  void OnAlias(const YAML::Mark& aMark, YAML::anchor_t /*aAnchor*/) override
  {
    AddFileError(aMark,
                 "An alias (*name) is not allowed; write the value out.");
    AddValue(nullptr, aMark, "alias");
  }

  void OnScalar(const YAML::Mark& aMark,
                const std::string& aTag,
                YAML::anchor_t /*aAnchor*/,
                const std::string& aText) override
  {
    AddValue(ReadScalar(aTag, aText), aMark, aText);
  }

  void OnSequenceStart(const YAML::Mark& aMark,
                       const std::string& /*aTag*/,
                       YAML::anchor_t /*aAnchor*/,
                       YAML::EmitterStyle::value /*aStyle*/) override
  {
    OpenContainer(Json::array(), aMark);
  }

  void OnSequenceEnd() override { CloseContainer(); }

  void OnMapStart(const YAML::Mark& aMark,
                  const std::string& /*aTag*/,
                  YAML::anchor_t /*aAnchor*/,
                  YAML::EmitterStyle::value /*aStyle*/) override
  {
    OpenContainer(Json::object(), aMark);
  }

  void OnMapEnd() override { CloseContainer(); }

private:
  static unsigned Line(const YAML::Mark& aMark)
  {
    return static_cast<unsigned>(aMark.line + 1);
  }

  void AddFileError(const YAML::Mark& aMark, const std::string& aMessage)
  {
    result_.fileErrors_.push_back(
      { file_, { NextPath(), aMessage, Line(aMark) } });
  }

  std::string NextPath() const
  {
    if (containers_.empty()) {
      return "";
    }
    const Container& container = containers_.back();
    if (container.value_.is_array()) {
      return container.path_ + "[" + std::to_string(container.value_.size()) +
             "]";
    }
    if (!container.hasKey_) {
      return container.path_;
    }
    return container.path_.empty() ? container.key_
                                   : container.path_ + "." + container.key_;
  }

  bool IsKeyNext() const
  {
    return !containers_.empty() && containers_.back().value_.is_object() &&
           !containers_.back().hasKey_;
  }

  void SetKey(const YAML::Mark& aMark, const std::string& aKey)
  {
    Container& container = containers_.back();
    container.key_ = aKey;
    container.hasKey_ = true;
    container.isDuplicate_ = container.value_.contains(aKey);
    const std::string path = NextPath();
    const auto [entry, isNew] = document_.lines_.emplace(path, Line(aMark));
    if (container.isDuplicate_) {
      AddFileError(aMark,
                   "The key \"" + aKey + "\" is written twice, first on line " +
                     std::to_string(entry->second) + "; keep one of them.");
    }
  }

  void StoreValue(Json aValue)
  {
    if (containers_.empty()) {
      document_.value_ = std::move(aValue);
      hasRoot_ = true;
      return;
    }
    Container& container = containers_.back();
    if (container.value_.is_array()) {
      container.value_.push_back(std::move(aValue));
      return;
    }
    // Keep the first value of a duplicate key.
    if (!container.isDuplicate_) {
      container.value_[container.key_] = std::move(aValue);
    }
    container.hasKey_ = false;
  }

  void AddValue(Json aValue, const YAML::Mark& aMark, const std::string& aText)
  {
    if (skippedDepth_ > 0) {
      return;
    }
    if (IsKeyNext()) {
      SetKey(aMark, aText);
      return;
    }
    RecordLine(aMark);
    StoreValue(std::move(aValue));
  }

  void RecordLine(const YAML::Mark& aMark)
  {
    if (containers_.empty()) {
      document_.line_ = Line(aMark);
    }
    document_.lines_.emplace(NextPath(), Line(aMark));
  }

  // CloseContainer is also called for skipped containers, so their depth is
  // counted.
  void OpenContainer(Json aEmpty, const YAML::Mark& aMark)
  {
    if (skippedDepth_ > 0) {
      ++skippedDepth_;
      return;
    }
    if (IsKeyNext()) {
      AddFileError(aMark, "A key is a list or an object; write a name as key.");
      SetKey(aMark, "(key)");
      skippedDepth_ = 1;
      return;
    }
    if (containers_.size() >= kMaxYamlDepth) {
      AddFileError(aMark,
                   "The document is nested deeper than " +
                     std::to_string(kMaxYamlDepth) +
                     " levels; make it flatter.");
      StoreValue(nullptr);
      skippedDepth_ = 1;
      return;
    }
    RecordLine(aMark);
    Container container;
    container.value_ = std::move(aEmpty);
    container.path_ = NextPath();
    containers_.push_back(std::move(container));
  }

  void CloseContainer()
  {
    if (skippedDepth_ > 0) {
      --skippedDepth_;
      return;
    }
    Json value = std::move(containers_.back().value_);
    containers_.pop_back();
    StoreValue(std::move(value));
  }

  std::string file_;
  YamlFile& result_;
  YamlDocument document_;
  std::vector<Container> containers_;
  // Number of open lists and objects that are being skipped.
  std::size_t skippedDepth_ = 0;
  bool hasRoot_ = false;
  int documentOffset_ = 0;
};

} // namespace

std::string
ToString(const FileError& aFileError)
{
  std::string text = aFileError.file_;
  if (aFileError.error_.line_ > 0) {
    text += ":" + std::to_string(aFileError.error_.line_);
  }
  if (!aFileError.error_.field_.empty()) {
    text += ": " + aFileError.error_.field_;
  }
  return text + ": " + aFileError.error_.message_;
}

YamlFile
ParseYaml(const std::string& aFile, const std::string& aText)
{
  YamlFile result;
  std::istringstream input(aText);
  try {
    YAML::Parser parser(input);
    DocumentBuilder builder(aFile, result);
    int lastOffset = -1;
    while (parser.HandleNextDocument(builder)) {
      // yaml-cpp does not advance past a token that can't start a node, such as
      // a comma, and would report an empty document there forever.
      if (builder.DocumentOffset() <= lastOffset) {
        throw YAML::ParserException(YAML::Mark::null_mark(),
                                    "a document starts with an invalid token");
      }
      lastOffset = builder.DocumentOffset();
    }
  } catch (const YAML::Exception& error) {
    const auto line =
      error.mark.is_null() ? 0U : static_cast<unsigned>(error.mark.line + 1);
    result.fileErrors_.push_back(
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
    result.fileErrors_.push_back(
      { aFile,
        { "",
          "The file can't be read; check its name and its permissions.",
          0 } });
    return result;
  }
  text.resize(static_cast<std::size_t>(input.gcount()));
  if (text.size() > kMaxYamlBytes) {
    YamlFile result;
    result.fileErrors_.push_back(
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
AddFileErrors(const YamlDocument& aDocument,
              const std::vector<FieldError>& aErrors,
              std::vector<FileError>& aFileErrors)
{
  for (const FieldError& error : aErrors) {
    FileError fileError{ aDocument.file_, error };
    fileError.error_.line_ = LineOf(aDocument, error.field_);
    const auto isSame = [&](const FileError& aOther) {
      return aOther.file_ == fileError.file_ &&
             aOther.error_.field_ == error.field_ &&
             aOther.error_.line_ == fileError.error_.line_;
    };
    if (std::none_of(aFileErrors.begin(), aFileErrors.end(), isSame)) {
      aFileErrors.push_back(std::move(fileError));
    }
  }
}

} // namespace sycamoreward
