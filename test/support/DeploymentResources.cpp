#include "support/DeploymentResources.h"

#include "support/Deployment.h"

namespace sycamoreward {

namespace {

constexpr const char* kRegion = Deployment::kRegion;

// SHA-256 of kCallerToken.
constexpr const char* kCallerDigest =
  "42759dabeaa13003b4a08844d414105fbbe66726b223dccb182613678f2c0d1a";

nlohmann::json
Resource(const std::string& aKind,
         const std::string& aName,
         const nlohmann::json& aSpec)
{
  return { { "kind", aKind },
           { "metadata", { { "name", aName } } },
           { "spec", aSpec } };
}

nlohmann::json
ModelService(const std::string& aName, bool aIsLong, unsigned aPriority)
{
  return Resource(
    "Service",
    aName,
    { { "type", "model" },
      { "pool", "sheet-model" },
      { "region", kRegion },
      { "model", "sheet" },
      { "class", { { "isLong", aIsLong }, { "priority", aPriority } } } });
}

} // namespace

std::vector<nlohmann::json>
DeploymentResources()
{
  return { ModelService(kReviewService, true, 6),
           ModelService(kQueryService, false, 1),
           Resource("Service",
                    kCertificateService,
                    { { "type", "plain" },
                      { "pool", "certificate-desk" },
                      { "region", kRegion },
                      { "isRepeatable", false },
                      { "statusPath", "/status/{id}" },
                      { "routes",
                        { { { "method", "get" },
                            { "pathPrefix", "/lookup" },
                            { "isRepeatable", true } } } } }),
           Resource(
             "Workspace",
             "lab",
             { { "share", 1 }, { "tokenDigests", { kCallerDigest } } }) };
}

} // namespace sycamoreward
