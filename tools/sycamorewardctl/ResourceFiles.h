#pragma once

// Reads the resources that files declare.

#include "configuration/ResourceJson.h"
#include "settings/YamlDocument.h"

#include <string>
#include <vector>

namespace sycamoreward {

// A resource and the document that declares it.
struct DeclaredResource
{
  Resource resource_;
  YamlDocument document_;
};

struct DeclaredResources
{
  std::vector<DeclaredResource> resources_;
  // The faults of all files.
  std::vector<FileError> faults_;
};

// Kind and name, such as "Service/sheet-review".
std::string
FullName(const Resource& aResource);

// Resolves aPaths to files: a file stands for itself, and a folder for all
// files
// *.yaml, *.yml and *.json in it and in its subfolders, sorted by path. Throws
// UserError for a path that does not exist and for a folder with no such file
// or too many.
std::vector<std::string>
FindFiles(const std::vector<std::string>& aPaths);

// Reads all documents. A second declaration of a resource is a fault.
DeclaredResources
LoadResources(const std::vector<std::string>& aPaths);

// Messages about references to services that no file declares. They are not
// faults, because other files may declare the services.
std::vector<std::string>
FindUnresolvedReferences(const DeclaredResources& aResources);

} // namespace sycamoreward
