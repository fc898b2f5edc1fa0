#include "ResourceFiles.h"

#include "base/Error.h"

#include <algorithm>
#include <filesystem>
#include <map>

namespace sycamoreward {

namespace {

namespace fs = std::filesystem;

// Maximum number of files in one folder.
constexpr std::size_t kMaxFiles = 10'000;

bool
IsResourceFile(const fs::directory_entry& aEntry)
{
  const std::string extension = aEntry.path().extension().string();
  return aEntry.is_regular_file() &&
         (extension == ".yaml" || extension == ".yml" || extension == ".json");
}

void
AddFolder(const std::string& aPath, std::vector<std::string>& aFiles)
{
  std::vector<std::string> found;
  for (const auto& entry : fs::recursive_directory_iterator(aPath)) {
    if (IsResourceFile(entry)) {
      found.push_back(entry.path().string());
    }
    if (found.size() > kMaxFiles) {
      throw UserError("find files",
                      aPath,
                      "The folder \"" + aPath + "\" has more than " +
                        std::to_string(kMaxFiles) +
                        " files; name a subfolder.");
    }
  }
  if (found.empty()) {
    throw UserError("find files",
                    aPath,
                    "The folder \"" + aPath +
                      "\" has no file *.yaml, *.yml or *.json.");
  }
  std::sort(found.begin(), found.end());
  aFiles.insert(aFiles.end(), found.begin(), found.end());
}

// "Kind/name" of a document, which may be invalid otherwise; empty when it
// lacks one of them.
std::string
DocumentName(const nlohmann::json& aDocument)
{
  const nlohmann::json::json_pointer name("/metadata/name");
  if (!aDocument.is_object() || !aDocument.contains("kind") ||
      !aDocument["kind"].is_string() || !aDocument.contains(name) ||
      !aDocument[name].is_string()) {
    return "";
  }
  return aDocument["kind"].get<std::string>() + "/" +
         aDocument[name].get<std::string>();
}

void
AddDocument(YamlDocument aDocument,
            std::map<std::string, std::string>& aSeen,
            DeclaredResources& aResult)
{
  ParsedResource parsed = ResourceFromJson(aDocument.value_);
  AddFileErrors(aDocument, parsed.errors_, aResult.faults_);
  const std::string name = DocumentName(aDocument.value_);
  const std::string location =
    aDocument.file_ + ":" + std::to_string(aDocument.line_);
  const auto [entry, isNew] = aSeen.emplace(name, location);
  if (!isNew && !name.empty()) {
    AddFileErrors(aDocument,
                  { { "metadata.name",
                      name + " is declared twice, first in " + entry->second +
                        "; keep one of them.",
                      0 } },
                  aResult.faults_);
  }
  if (parsed.resource_) {
    aResult.resources_.push_back(
      { std::move(*parsed.resource_), std::move(aDocument) });
  }
}

} // namespace

std::string
FullName(const Resource& aResource)
{
  return std::string(ToString(KindOf(aResource))) + "/" +
         MetadataOf(aResource).name_;
}

std::vector<std::string>
FindFiles(const std::vector<std::string>& aPaths)
{
  std::vector<std::string> files;
  for (const std::string& path : aPaths) {
    std::error_code error;
    if (fs::is_directory(path, error)) {
      AddFolder(path, files);
    } else if (fs::exists(path, error)) {
      files.push_back(path);
    } else {
      throw UserError("find files",
                      path,
                      "The path \"" + path +
                        "\" does not exist; name a file or folder.");
    }
  }
  return files;
}

DeclaredResources
LoadResources(const std::vector<std::string>& aPaths)
{
  DeclaredResources result;
  std::map<std::string, std::string> seen;
  for (const std::string& path : FindFiles(aPaths)) {
    YamlFile file = LoadYaml(path);
    result.faults_.insert(
      result.faults_.end(), file.fileErrors_.begin(), file.fileErrors_.end());
    for (YamlDocument& document : file.documents_) {
      AddDocument(std::move(document), seen, result);
    }
  }
  return result;
}

std::vector<std::string>
FindUnresolvedReferences(const DeclaredResources& aResources)
{
  Configuration configuration;
  for (const DeclaredResource& declared : aResources.resources_) {
    PutResource(configuration, declared.resource_);
  }
  std::vector<std::string> messages;
  for (const FieldError& error : CheckReferences(configuration)) {
    messages.push_back(error.message_);
  }
  return messages;
}

} // namespace sycamoreward
