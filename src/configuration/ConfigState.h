#pragma once

// The configuration in force on one instance and its most recent changes. The
// revision never decreases.

#include "configuration/ResourceJson.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamoreward {

// A committed change of a resource.
struct ConfigChange
{
  // Revision of the configuration that includes this change. It is also the new
  // version of the resource.
  Revision revision_;
  ResourceKind kind_ = ResourceKind::Service;
  std::string name_;
  // The resource after the change; empty when it was deleted.
  std::optional<Resource> resource_;
  // Whether the resource did not exist before. Set by
  // ConfigState::ApplyChanges.
  bool isNew_ = false;
};

// Formats a change as JSON, as stored in log rows and sent in the configuration
// feed.
std::string
FormatConfigChange(const ConfigChange& aChange);

// Parses the output of FormatConfigChange. Throws UserError when aText is
// malformed.
ConfigChange
ParseConfigChange(const std::string& aText);

// Returns all resources of aConfiguration as changes, for a snapshot.
std::vector<ConfigChange>
ResourcesOf(const Configuration& aConfiguration);

// Builds a configuration from the resources of a snapshot. Throws UserError
// when one of them is a deletion.
Configuration
MakeConfiguration(Revision aRevision,
                  const std::vector<ConfigChange>& aResources);

// Returns aResource with its version set to aVersion.
Resource
WithVersion(Resource aResource, Revision aVersion);

// Holds the current configuration and the last kMaxChanges changes.
class ConfigState
{
public:
  // Maximum number of changes kept for watches and for peers that lag behind.
  static constexpr std::size_t kMaxChanges = 10'000;

  explicit ConfigState(std::size_t aMaxChanges = kMaxChanges);

  const std::shared_ptr<const Configuration>& Current() const
  {
    return current_;
  }
  Revision CurrentRevision() const { return current_->revision_; }

  // Applies the changes that follow the current revision without a gap and
  // ignores older ones. Returns whether any change was applied.
  bool ApplyChanges(const std::vector<ConfigChange>& aChanges);

  // Replaces the configuration if aConfiguration is newer, and returns whether
  // it did. Discards the kept changes, because those between the two revisions
  // are not known.
  bool ApplySnapshot(Configuration aConfiguration);

  // Returns the changes after a revision, in order; empty when they are no
  // longer kept.
  std::optional<std::vector<ConfigChange>> ChangesAfter(
    Revision aRevision) const;

private:
  std::size_t maxChanges_;
  std::shared_ptr<const Configuration> current_;
  std::deque<ConfigChange> changes_;
};

} // namespace sycamoreward
