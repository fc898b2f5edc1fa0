#pragma once

// Helpers that create the rows of a field table.

#include "configuration/Schema.h"

namespace sycamoreward {

// A required field. Text and paths have 1 to 256 bytes.
FieldSpec
RequiredField(const char* aPath, FieldType aType, const char* aDoc);

// An optional field. A null default means that there is none.
FieldSpec
OptionalField(const char* aPath,
              FieldType aType,
              nlohmann::json aDefault,
              const char* aDoc);

// An optional number with a range and a unit.
FieldSpec
RangedField(const char* aPath,
            FieldType aType,
            nlohmann::json aDefault,
            double aMin,
            double aMax,
            const char* aUnit,
            const char* aDoc);

// An optional list, empty by default.
FieldSpec
ListField(const char* aPath, const char* aDoc);

// One of a fixed set of values.
FieldSpec
ChoiceField(const char* aPath,
            bool aIsRequired,
            nlohmann::json aDefault,
            std::vector<std::string> aChoices,
            const char* aDoc);

} // namespace sycamoreward
