#pragma once

// The configuration in force on one instance and its last changes. The revision
// only goes up.

#include "configuration/ResourceJson.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamoreward {

// One committed change.
struct ConfigChange
{
  // Revision of the configuration with this change; also the version of the
  // resource.
  Revision revision_;
  ResourceKind kind_ = ResourceKind::Service;
  std::string name_;
  // The resource as changed. Empty: it was deleted.
  std::optional<Resource> resource_;
  // The resource did not exist before. Set by ConfigState::ApplyChanges.
  bool isNew_ = false;
};

// Text form of log rows and of the configuration feed.
std::string
FormatConfigChange(const ConfigChange& aChange);

// Throws UserError for a text of another form.
ConfigChange
ParseConfigChange(const std::string& aText);

// The resources of aConfiguration as changes, for a snapshot.
std::vector<ConfigChange>
ResourcesOf(const Configuration& aConfiguration);

// A configuration of the resources in aResources. Throws UserError when one of
// them is a deletion.
Configuration
MakeConfiguration(Revision aRevision,
                  const std::vector<ConfigChange>& aResources);

// aResource with its version set.
Resource
WithVersion(Resource aResource, Revision aVersion);

class ConfigState
{
public:
  // Changes kept for watches and for peers that lag behind.
  static constexpr std::size_t kMaxChanges = 10'000;

  explicit ConfigState(std::size_t aMaxChanges = kMaxChanges);

  const std::shared_ptr<const Configuration>& Current() const
  {
    return current_;
  }
  Revision CurrentRevision() const { return current_->revision_; }

  // Applies the changes that follow the current revision without a gap and
  // ignores older ones. Returns whether anything was applied.
  bool ApplyChanges(const std::vector<ConfigChange>& aChanges);

  // Replaces the configuration by a newer one; an older one has no effect. The
  // changes in between are not known, so none are kept. Returns whether it was
  // applied.
  bool ApplySnapshot(Configuration aConfiguration);

  // The changes after a revision, in order. Empty optional when they are not
  // kept any more.
  std::optional<std::vector<ConfigChange>> ChangesAfter(
    Revision aRevision) const;

private:
  std::size_t maxChanges_;
  std::shared_ptr<const Configuration> current_;
  std::deque<ConfigChange> changes_;
};

} // namespace sycamoreward
