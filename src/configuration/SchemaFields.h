#pragma once

// Short ways to write the rows of a field table.

#include "configuration/Schema.h"

namespace sycamoreward {

// A field without default. Text and paths have 1 to 256 bytes.
FieldSpec
RequiredField(const char* aPath, FieldType aType, const char* aDoc);

// A field that may be omitted. A null default stands for none.
FieldSpec
OptionalField(const char* aPath,
              FieldType aType,
              nlohmann::json aDefault,
              const char* aDoc);

// A number with range and unit.
FieldSpec
RangedField(const char* aPath,
            FieldType aType,
            nlohmann::json aDefault,
            double aMin,
            double aMax,
            const char* aUnit,
            const char* aDoc);

// A list that is empty by default.
FieldSpec
ListField(const char* aPath, const char* aDoc);

// One of a set of words.
FieldSpec
ChoiceField(const char* aPath,
            bool aIsRequired,
            nlohmann::json aDefault,
            std::vector<std::string> aChoices,
            const char* aDoc);

} // namespace sycamoreward
