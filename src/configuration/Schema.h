#pragma once

// One table for each kind of document describes every field. Checks, defaults
// and the reference page all come from it, so they can't differ.

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
  // One of a fixed set of words.
  Choice,
  // Any text of min_ to max_ bytes.
  Text,
  // A DNS label: 1 to 63 lower-case letters, digits and inner hyphens.
  Name,
  // A path of a URL, from "/".
  Path,
  // Path with the placeholder {id}, or empty.
  StatusPath,
  // SHA-256 in 64 lower-case hexadecimal digits.
  Digest,
  // IP:PORT with a port from min_.
  SocketAddress,
  // Decimal integer written as text, or empty.
  Version
};

struct FieldSpec
{
  // Names joined by "."; elements of a list have the suffix "[]".
  std::string path_;
  FieldType type_ = FieldType::Text;
  bool isRequired_ = false;
  // Value of an omitted field. Null: none.
  nlohmann::json default_;
  // Range of numbers, of the length of text and of the size of lists.
  double min_ = 0;
  double max_ = 0;
  // "ms", "bytes", ...; empty for a plain number.
  std::string unit_;
  // Allowed words of a choice.
  std::vector<std::string> choices_;
  // One sentence for the reference page.
  std::string doc_;
};

using FieldTable = std::vector<FieldSpec>;

// Fields of the documents of a kind, in the order of the reference page.
const FieldTable&
SchemaOf(ResourceKind aKind);

// All faults of aDocument against aTable. Lines are left 0.
std::vector<FieldError>
CheckDocument(const FieldTable& aTable, const nlohmann::json& aDocument);

// aDocument with the default of each omitted field. It must be free of faults.
nlohmann::json
WithDefaults(const FieldTable& aTable, nlohmann::json aDocument);

// What a field takes, such as "an integer from 0 to 9".
std::string
DescribeValue(const FieldSpec& aField);

// A table in Markdown of the fields.
std::string
DescribeFields(const FieldTable& aTable);

} // namespace sycamoreward
