#pragma once

// Reads YAML files as JSON documents that keep the line of each field. Aliases
// and duplicate keys, which yaml-cpp accepts, are errors.

#include "configuration/ResourceJson.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace sycamoreward {

// An error in a file. If it concerns the whole file, line_ is 0 and field_ is
// empty.
struct FileError
{
  std::string file_;
  FieldError error_;
};

// Formats an error as "file:line: field: message", without the parts that are
// empty.
std::string
ToString(const FileError& aFileError);

struct YamlDocument
{
  std::string file_;
  nlohmann::json value_;
  // Line of the first token, from 1.
  unsigned line_ = 0;
  // Lines by field path, in the form of FieldError, such as
  // "spec.routes[0].method".
  std::map<std::string, unsigned> lines_;
};

struct YamlFile
{
  // The documents that were read completely. Empty documents are omitted.
  std::vector<YamlDocument> documents_;
  std::vector<FileError> fileErrors_;
};

// Maximum size of a file, in bytes; enough for 3,500 resources of 300 bytes.
constexpr std::size_t kMaxYamlBytes = 1U << 20U;

// Maximum nesting depth of a document.
constexpr std::size_t kMaxYamlDepth = 32;

// Parses the documents of aText. aFile is only used in error messages.
YamlFile
ParseYaml(const std::string& aFile, const std::string& aText);

// Loads and parses a file. An unreadable file is reported as an error.
YamlFile
LoadYaml(const std::string& aFile);

// Returns the line of a field, or of the nearest enclosing object when the
// field is missing.
unsigned
LineOf(const YamlDocument& aDocument, const std::string& aField);

// Adds aErrors to aFileErrors, with the file and the lines of aDocument. Skips
// errors of fields that already have one.
void
AddFileErrors(const YamlDocument& aDocument,
              const std::vector<FieldError>& aErrors,
              std::vector<FileError>& aFileErrors);

} // namespace sycamoreward
