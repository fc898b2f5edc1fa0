#pragma once

// One table for each kind of document describes every field. Validation,
// defaults and the reference page are all derived from it, so they can't
// disagree.

#include "configuration/ResourceJson.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace sycamoreward {

enum class FieldType
{
  Object,
  List,
  Boolean,
  Integer,
  Number,
  // One of a fixed set of values.
  Choice,
  // Any text with a length of min_ to max_ bytes.
  Text,
  // A DNS label: 1 to 63 lower-case letters, digits and inner hyphens.
  Name,
  // A URL path that starts with "/".
  Path,
  // A path with the placeholder {id}, or empty.
  StatusPath,
  // A SHA-256 digest as 64 lower-case hexadecimal digits.
  Digest,
  // IP:PORT with a port of at least min_.
  SocketAddress,
  // A decimal integer as a string, or empty.
  Version
};

// Describes one field of a document.
struct FieldSpec
{
  // Field names joined by "."; the elements of a list have the suffix "[]".
  std::string path_;
  FieldType type_ = FieldType::Text;
  bool isRequired_ = false;
  // Default of an omitted field; null when there is none.
  nlohmann::json default_;
  // Minimum and maximum of a number, of the length of a text or of the size of
  // a list.
  double min_ = 0;
  double max_ = 0;
  // "ms", "bytes", ...; empty for a plain number.
  std::string unit_;
  // Allowed values of a choice.
  std::vector<std::string> choices_;
  // Description for the reference page.
  std::string doc_;
};

using FieldTable = std::vector<FieldSpec>;

// Returns the fields of the documents of a kind, in the order of the reference
// page.
const FieldTable&
SchemaOf(ResourceKind aKind);

// Returns all errors of aDocument against aTable. The line numbers are left at
// 0.
std::vector<FieldError>
CheckDocument(const FieldTable& aTable, const nlohmann::json& aDocument);

// Returns aDocument with defaults filled in. It must have passed CheckDocument.
nlohmann::json
WithDefaults(const FieldTable& aTable, nlohmann::json aDocument);

// Describes the valid values of a field, such as "an integer from 0 to 9".
std::string
DescribeValue(const FieldSpec& aField);

// Describes the fields as a Markdown table.
std::string
DescribeFields(const FieldTable& aTable);

} // namespace sycamoreward
