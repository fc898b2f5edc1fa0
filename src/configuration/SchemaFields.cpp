#include "configuration/SchemaFields.h"

namespace sycamoreward {

namespace {

// Maximum length of a text field, in bytes. Keeps a resource well below the 400
// KB limit of a table row.
constexpr double kMaxTextBytes = 256;
constexpr double kMaxElements = 1000;

} // namespace

FieldSpec
RequiredField(const char* aPath, FieldType aType, const char* aDoc)
{
  const bool isName = aType == FieldType::Name;
  return { aPath, aType, true, nullptr, 1, isName ? 63 : kMaxTextBytes,
           "",    {},    aDoc };
}

FieldSpec
OptionalField(const char* aPath,
              FieldType aType,
              nlohmann::json aDefault,
              const char* aDoc)
{
  return { aPath, aType, false, std::move(aDefault), 0, kMaxTextBytes,
           "",    {},    aDoc };
}

FieldSpec
RangedField(const char* aPath,
            FieldType aType,
            nlohmann::json aDefault,
            double aMin,
            double aMax,
            const char* aUnit,
            const char* aDoc)
{
  return {
    aPath, aType, false, std::move(aDefault), aMin, aMax, aUnit, {}, aDoc
  };
}

FieldSpec
ListField(const char* aPath, const char* aDoc)
{
  return { aPath, FieldType::List, false, nlohmann::json::array(),
           0,     kMaxElements,    "",    {},
           aDoc };
}

FieldSpec
ChoiceField(const char* aPath,
            bool aIsRequired,
            nlohmann::json aDefault,
            std::vector<std::string> aChoices,
            const char* aDoc)
{
  return { aPath, FieldType::Choice,   aIsRequired, std::move(aDefault), 0, 0,
           "",    std::move(aChoices), aDoc };
}

} // namespace sycamoreward
