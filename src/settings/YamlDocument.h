#pragma once

// YAML files as JSON documents that know the line of each field. Duplicate
// keys, which yaml-cpp accepts, are faults, and so are aliases.

#include "configuration/ResourceJson.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace sycamoreward {

// A fault of a file. line_ and field_ of the error are 0 and empty when it
// concerns the whole file.
struct FileError
{
  std::string file_;
  FieldError error_;
};

// "file:line: field: message", without the parts that are empty.
std::string
ToString(const FileError& aFileError);

struct YamlDocument
{
  std::string file_;
  nlohmann::json value_;
  // Line of the first token, from 1.
  unsigned line_ = 0;
  // Lines by the paths of FieldError, such as "spec.routes[0].method".
  std::map<std::string, unsigned> lines_;
};

struct YamlFile
{
  // Documents that were read whole. Empty documents are left out.
  std::vector<YamlDocument> documents_;
  std::vector<FileError> fileErrors_;
};

// Longest file that is read, in bytes. 3,500 resources of 300 bytes fit.
constexpr std::size_t kMaxYamlBytes = 1U << 20U;

// Deepest nesting of a document.
constexpr std::size_t kMaxYamlDepth = 32;

// Reads the documents of aText. aFile is used in faults only.
YamlFile
ParseYaml(const std::string& aFile, const std::string& aText);

// Reads a file. One that can't be read is a fault.
YamlFile
LoadYaml(const std::string& aFile);

// Line of a field, or of the nearest object around it when it is missing.
unsigned
LineOf(const YamlDocument& aDocument, const std::string& aField);

// Adds aErrors with the file and the lines of aDocument to aFileErrors, without
// those of fields that have a fault already.
void
AddFileErrors(const YamlDocument& aDocument,
              const std::vector<FieldError>& aErrors,
              std::vector<FileError>& aFileErrors);

} // namespace sycamoreward
