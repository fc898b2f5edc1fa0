#include "configuration/Schema.h"

#include "base/Address.h"
#include "base/Error.h"

#include <algorithm>
#include <cctype>
#include <sstream>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

// Maximum length of an invalid value in an error message, in bytes.
constexpr std::size_t kMaxShownBytes = 80;

std::string
FormatValue(const Json& aValue)
{
  std::string text =
    aValue.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (text.size() > kMaxShownBytes) {
    text = text.substr(0, kMaxShownBytes) + "...";
  }
  return text;
}

std::string
FormatNumber(double aNumber)
{
  std::ostringstream out;
  out.precision(12);
  out << aNumber;
  return out.str();
}

std::string
DescribeRange(const FieldSpec& aField)
{
  return " from " + FormatNumber(aField.min_) + " to " +
         FormatNumber(aField.max_);
}

std::string
UnitName(const std::string& aUnit)
{
  return aUnit == "ms" ? "milliseconds" : aUnit;
}

bool
IsLowerOrDigit(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= '0' && aChar <= '9');
}

bool
IsName(const std::string& aText)
{
  const auto isAllowed = [](char aChar) {
    return IsLowerOrDigit(aChar) || aChar == '-';
  };
  return !aText.empty() && aText.size() <= 63 && aText.front() != '-' &&
         aText.back() != '-' &&
         std::all_of(aText.begin(), aText.end(), isAllowed);
}

bool
IsDigest(const std::string& aText)
{
  return aText.size() == 64 &&
         aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool
IsPath(const std::string& aText, double aMax)
{
  const auto isAllowed = [](unsigned char aChar) {
    return aChar > ' ' && aChar < 127 && aChar != '?' && aChar != '#';
  };
  return !aText.empty() && aText.front() == '/' &&
         static_cast<double>(aText.size()) <= aMax &&
         std::all_of(aText.begin(), aText.end(), isAllowed);
}

bool
IsVersion(const std::string& aText)
{
  // 18 digits always fit the 64-bit revision.
  return aText.size() <= 18 &&
         aText.find_first_not_of("0123456789") == std::string::npos;
}

bool
IsSocketAddress(const std::string& aText, double aMinPort)
{
  try {
    return ParseAddress(aText).port_ >= aMinPort;
  } catch (const UserError&) {
    return false;
  }
}

bool
IsValidText(const FieldSpec& aField, const std::string& aText)
{
  const auto size = static_cast<double>(aText.size());
  switch (aField.type_) {
    case FieldType::Choice:
      return std::find(aField.choices_.begin(), aField.choices_.end(), aText) !=
             aField.choices_.end();
    case FieldType::Text:
      return size >= aField.min_ && size <= aField.max_;
    case FieldType::Name:
      return IsName(aText);
    case FieldType::Path:
      return IsPath(aText, aField.max_);
    case FieldType::StatusPath:
      return aText.empty() || (IsPath(aText, aField.max_) &&
                               aText.find("{id}") != std::string::npos);
    case FieldType::Digest:
      return IsDigest(aText);
    case FieldType::SocketAddress:
      return IsSocketAddress(aText, aField.min_);
    case FieldType::Version:
      return IsVersion(aText);
    default:
      return false;
  }
}

bool
IsValidValue(const FieldSpec& aField, const Json& aValue)
{
  switch (aField.type_) {
    case FieldType::Object:
      return aValue.is_object();
    case FieldType::List:
      return aValue.is_array() &&
             static_cast<double>(aValue.size()) >= aField.min_ &&
             static_cast<double>(aValue.size()) <= aField.max_;
    case FieldType::Boolean:
      return aValue.is_boolean();
    case FieldType::Integer:
    case FieldType::Number: {
      const bool isInteger = aField.type_ == FieldType::Integer;
      if (isInteger ? !aValue.is_number_integer() : !aValue.is_number()) {
        return false;
      }
      const auto number = aValue.get<double>();
      return number >= aField.min_ && number <= aField.max_;
    }
    default:
      return aValue.is_string() &&
             IsValidText(aField, aValue.get_ref<const std::string&>());
  }
}

// Returns whether aField is a direct member of the object at aParent, and sets
// aName to its name in it.
bool
IsMember(const FieldSpec& aField,
         const std::string& aParent,
         std::string& aName)
{
  const std::string prefix = aParent.empty() ? "" : aParent + ".";
  if (aField.path_.compare(0, prefix.size(), prefix) != 0) {
    return false;
  }
  aName = aField.path_.substr(prefix.size());
  return !aName.empty() && aName.find_first_of(".[") == std::string::npos;
}

const FieldSpec*
FindSpec(const FieldTable& aTable, const std::string& aPath)
{
  for (const FieldSpec& field : aTable) {
    if (field.path_ == aPath) {
      return &field;
    }
  }
  return nullptr;
}

std::string
Join(const std::string& aParent, const std::string& aName)
{
  return aParent.empty() ? aName : aParent + "." + aName;
}

// Removes the unit from a field name, to detect a field with a wrong unit.
std::string
RemoveUnitSuffix(std::string aName)
{
  for (const char* suffix : { "Milliseconds", "Seconds", "Bytes", "Ms", "S" }) {
    const std::string end = suffix;
    if (aName.size() > end.size() &&
        aName.compare(aName.size() - end.size(), end.size(), end) == 0) {
      return aName.substr(0, aName.size() - end.size());
    }
  }
  return aName;
}

class DocumentChecker
{
public:
  explicit DocumentChecker(const FieldTable& aTable)
    : table_(aTable)
  {
  }

  // aPattern is the path in the field table, aPath the one in the document.
  void CheckObject(const Json& aObject,
                   const std::string& aPattern,
                   const std::string& aPath)
  {
    for (const auto& [key, value] : aObject.items()) {
      const FieldSpec* field = FindSpec(table_, Join(aPattern, key));
      if (field == nullptr || key.find_first_of(".[") != std::string::npos) {
        AddUnknown(key, aPattern, aPath);
      } else {
        CheckValue(*field, value, Join(aPath, key));
      }
    }
    std::string name;
    for (const FieldSpec& field : table_) {
      if (field.isRequired_ && IsMember(field, aPattern, name) &&
          !aObject.contains(name)) {
        Add(Join(aPath, name), "is missing; write " + DescribeValue(field));
      }
    }
  }

  std::vector<FieldError> TakeErrors() { return std::move(errors_); }

private:
  void Add(const std::string& aPath, const std::string& aProblem)
  {
    errors_.push_back(
      { aPath, "The field \"" + aPath + "\" " + aProblem + ".", 0 });
  }

  void AddUnknown(const std::string& aKey,
                  const std::string& aPattern,
                  const std::string& aPath)
  {
    std::string known;
    std::string name;
    for (const FieldSpec& field : table_) {
      if (!IsMember(field, aPattern, name)) {
        continue;
      }
      if (!field.unit_.empty() &&
          RemoveUnitSuffix(name) == RemoveUnitSuffix(aKey)) {
        Add(Join(aPath, aKey),
            "has the wrong unit; write \"" + name + "\" in " +
              UnitName(field.unit_));
        return;
      }
      known += (known.empty() ? "" : ", ") + name;
    }
    Add(Join(aPath, aKey), "is unknown; the fields here are " + known);
  }

  void CheckValue(const FieldSpec& aField,
                  const Json& aValue,
                  const std::string& aPath)
  {
    if (!IsValidValue(aField, aValue)) {
      Add(aPath,
          "is " + FormatValue(aValue) + "; write " + DescribeValue(aField));
      return;
    }
    if (aField.type_ == FieldType::Object) {
      CheckObject(aValue, aField.path_, aPath);
    } else if (aField.type_ == FieldType::List) {
      const FieldSpec* element = FindSpec(table_, aField.path_ + "[]");
      for (std::size_t i = 0; element != nullptr && i < aValue.size(); ++i) {
        CheckValue(*element, aValue[i], aPath + "[" + std::to_string(i) + "]");
      }
    }
  }

  const FieldTable& table_;
  std::vector<FieldError> errors_;
};

void
FillDefaults(const FieldTable& aTable,
             Json& aObject,
             const std::string& aPattern)
{
  std::string name;
  for (const FieldSpec& field : aTable) {
    if (!IsMember(field, aPattern, name)) {
      continue;
    }
    if (!aObject.contains(name) && !field.default_.is_null()) {
      aObject[name] = field.default_;
    }
    if (!aObject.contains(name)) {
      continue;
    }
    Json& value = aObject[name];
    if (field.type_ == FieldType::Object) {
      FillDefaults(aTable, value, field.path_);
    } else if (field.type_ == FieldType::List) {
      for (Json& element : value) {
        if (element.is_object()) {
          FillDefaults(aTable, element, field.path_ + "[]");
        }
      }
    }
  }
}

std::string
DescribeChoice(const std::vector<std::string>& aChoices)
{
  std::string text;
  for (const std::string& choice : aChoices) {
    text += (text.empty() ? "" : ", ") + choice;
  }
  return aChoices.size() == 1 ? text : "one of " + text;
}

} // namespace

std::vector<FieldError>
CheckDocument(const FieldTable& aTable, const Json& aDocument)
{
  if (!aDocument.is_object()) {
    return { { "",
               "The document is " + FormatValue(aDocument) +
                 "; write an object with fields.",
               0 } };
  }
  DocumentChecker checker(aTable);
  checker.CheckObject(aDocument, "", "");
  return checker.TakeErrors();
}

Json
WithDefaults(const FieldTable& aTable, Json aDocument)
{
  FillDefaults(aTable, aDocument, "");
  return aDocument;
}

std::string
DescribeValue(const FieldSpec& aField)
{
  const std::string unit =
    aField.unit_.empty() ? "" : " of " + UnitName(aField.unit_);
  switch (aField.type_) {
    case FieldType::Object:
      return "an object";
    case FieldType::List:
      return "a list of" + DescribeRange(aField).substr(5) + " elements";
    case FieldType::Boolean:
      return "true or false";
    case FieldType::Integer:
      return "an integer" + unit + DescribeRange(aField);
    case FieldType::Number:
      return "a number" + unit + DescribeRange(aField);
    case FieldType::Choice:
      return DescribeChoice(aField.choices_);
    case FieldType::Text:
      return "text of" + DescribeRange(aField).substr(5) + " bytes";
    case FieldType::Name:
      return "a name of 1 to 63 lower-case letters, digits and inner hyphens";
    case FieldType::Path:
      return "a path that begins with /";
    case FieldType::StatusPath:
      return "a path that begins with / and contains {id}, or empty text";
    case FieldType::Digest:
      return "a SHA-256 digest of 64 lower-case hexadecimal digits";
    case FieldType::SocketAddress:
      return "an address IP:PORT with a port from " +
             FormatNumber(aField.min_) + " to 65535";
    case FieldType::Version:
      break;
  }
  return "a decimal integer in quotes";
}

std::string
DescribeFields(const FieldTable& aTable)
{
  std::string text = "| field | value | default | meaning |\n"
                     "| --- | --- | --- | --- |\n";
  for (const FieldSpec& field : aTable) {
    const std::string defaultText =
      field.isRequired_          ? (field.path_.back() == ']' ? "" : "required")
      : field.default_.is_null() ? ""
                                 : "`" + field.default_.dump() + "`";
    text += "| `" + field.path_ + "` | " + DescribeValue(field) + " | " +
            defaultText + " | " + field.doc_ + " |\n";
  }
  return text;
}

} // namespace sycamoreward
