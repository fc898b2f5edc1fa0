#pragma once

// Resources that files declare.

#include "configuration/ResourceJson.h"
#include "settings/YamlDocument.h"

#include <string>
#include <vector>

namespace sycamoreward {

struct DeclaredResource
{
  Resource resource_;
  YamlDocument document_;
};

struct DeclaredResources
{
  std::vector<DeclaredResource> resources_;
  // All faults of all files at once.
  std::vector<FileError> faults_;
};

// "Service/sheet-review".
std::string
FullName(const Resource& aResource);

// Files below aPaths: each file itself, and of each folder the files *.yaml,
// *.yml and *.json in it and in its folders, in the order of their names.
// Throws UserError for a path that does not exist.
std::vector<std::string>
FindFiles(const std::vector<std::string>& aPaths);

// Reads all documents. Two declarations of one resource are a fault.
DeclaredResources
LoadResources(const std::vector<std::string>& aPaths);

// References to services that no file declares. Not faults, because another
// file may declare them.
std::vector<std::string>
FindUnresolvedReferences(const DeclaredResources& aResources);

} // namespace sycamoreward
