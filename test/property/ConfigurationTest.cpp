// Properties of configuration changes under races, lost replies and any order
// of delivery.

#include "base/Clock.h"
#include "configuration/ConfigurationStore.h"
#include "runtime/EventLoop.h"
#include "support/MemoryTable.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace sycamoreward;

namespace {

Workspace
WorkspaceWith(const std::string& aName, unsigned aShare)
{
  Workspace workspace;
  workspace.metadata_.name_ = aName;
  workspace.share_ = aShare;
  workspace.tokenDigests_ = { std::string(64, 'a') };
  return workspace;
}

// Returns the workspace as stored in the table.
std::optional<Workspace>
ReadWorkspace(const MemoryTable& aTable, const std::string& aName)
{
  const auto row =
    aTable.rows_.find({ "config/resource", "Workspace/" + aName });
  if (row == aTable.rows_.end()) {
    return std::nullopt;
  }
  return std::get<Workspace>(
    *ParseConfigChange(row->second.values_.at("change")).resource_);
}

// An operator that repeatedly increments the share of a workspace. Two of the
// three operators change the same workspace; the third races with them on the
// head row only.
struct Operator
{
  Operator(EventLoop& aLoop, MemoryTable& aTable, unsigned aNumber)
    : table_(aTable)
    , name_("counter-" + std::to_string(aNumber % 2))
    , store_(aLoop, aTable, [this, aNumber] {
      return std::to_string(aNumber) + "-" + std::to_string(++tokens_);
    })
  {
  }

  void Step()
  {
    if (isBusy_ || remaining_ == 0) {
      return;
    }
    isBusy_ = true;
    CommitRequest request;
    request.kind_ = ResourceKind::Workspace;
    request.name_ = name_;
    const auto known = ReadWorkspace(table_, name_);
    const unsigned share = known.has_value() ? known->share_ : 0;
    if (known.has_value()) {
      request.expected_ = known->metadata_.resourceVersion_;
    }
    request.resource_ = WorkspaceWith(name_, share + 1);
    store_.Commit(request, [this](const CommitResult& aResult) {
      isBusy_ = false;
      if (aResult.status_ == CommitStatus::Committed) {
        ++committed_;
        --remaining_;
      }
      unknown_ += aResult.status_ == CommitStatus::Unknown ? 1 : 0;
    });
  }

  MemoryTable& table_;
  std::string name_;
  unsigned tokens_ = 0;
  ConfigurationStore store_;
  unsigned remaining_ = 4;
  unsigned committed_ = 0;
  unsigned unknown_ = 0;
  bool isBusy_ = false;
};

// Completes one held write with one of the possible results of a table.
void
CompleteOneWrite(MemoryTable& aTable,
                 std::vector<MemoryTable::HeldWrite>& aLate)
{
  const auto index =
    *rc::gen::inRange<std::size_t>(0, aTable.held_.size() + aLate.size());
  if (index >= aTable.held_.size()) {
    // A write that takes effect long after its result was reported as unknown.
    const auto place = index - aTable.held_.size();
    aTable.Apply(aLate[place].writes_);
    aLate.erase(aLate.begin() + long(place));
    return;
  }
  const auto write = aTable.held_[index];
  aTable.held_.erase(aTable.held_.begin() + long(index));
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      write.onResult_(WriteResult::Unknown);
      break;
    case 1:
      aTable.Apply(write.writes_);
      write.onResult_(WriteResult::Unknown);
      break;
    case 2:
      aLate.push_back(write);
      write.onResult_(WriteResult::Unknown);
      break;
    default:
      write.onResult_(aTable.Apply(write.writes_));
      break;
  }
}

// A sequence of changes, including deletions, and the configuration after each.
struct History
{
  std::vector<ConfigChange> changes_;
  std::vector<Configuration> states_{ Configuration() };
};

History
AnyHistory()
{
  History history;
  const auto count = *rc::gen::inRange<unsigned>(1, 30);
  for (unsigned revision = 1; revision <= count; ++revision) {
    ConfigChange change;
    change.revision_ = Revision(revision);
    change.kind_ = ResourceKind::Workspace;
    change.name_ = "w" + std::to_string(*rc::gen::inRange(0, 3));
    Configuration next = history.states_.back();
    next.revision_ = change.revision_;
    if (*rc::gen::inRange(0, 4) == 0) {
      EraseResource(next, change.kind_, change.name_);
    } else {
      const Workspace workspace = WorkspaceWith(change.name_, revision);
      change.resource_ = WithVersion(workspace, change.revision_);
      PutResource(next, *change.resource_);
    }
    history.changes_.push_back(change);
    history.states_.push_back(std::move(next));
  }
  return history;
}

bool
AreEqual(const Configuration& aLeft, const Configuration& aRight)
{
  const auto left = ResourcesOf(aLeft);
  const auto right = ResourcesOf(aRight);
  return aLeft.revision_ == aRight.revision_ &&
         std::equal(left.begin(),
                    left.end(),
                    right.begin(),
                    right.end(),
                    [](const auto& aOne, const auto& aOther) {
                      return FormatConfigChange(aOne) ==
                             FormatConfigChange(aOther);
                    });
}

} // namespace

// Guards against an update that overwrites another one, an update that is
// reported as committed but is not, and an update that is committed twice after
// a lost reply.
Test(Configuration, RacingOperatorsLoseNoUpdate)
{
  cr_assert(rc::check([] {
    ManualClock clock;
    EventLoop loop(clock);
    MemoryTable table;
    table.isHeld_ = true;
    std::vector<std::unique_ptr<Operator>> operators;
    for (unsigned number = 0; number < 3; ++number) {
      operators.push_back(std::make_unique<Operator>(loop, table, number));
    }
    std::vector<MemoryTable::HeldWrite> late;
    const auto faultySteps = *rc::gen::inRange(0, 300);
    for (int step = 0; step < faultySteps + 400; ++step) {
      if (step == faultySteps) {
        // The table works without faults from here on.
        table.isHeld_ = false;
        for (const auto& write : std::exchange(table.held_, {})) {
          write.onResult_(table.Apply(write.writes_));
        }
      }
      for (auto& one : operators) {
        one->Step();
      }
      if (table.isHeld_ && (!table.held_.empty() || !late.empty())) {
        CompleteOneWrite(table, late);
      }
      clock.Advance(std::chrono::milliseconds(*rc::gen::inRange(0, 500) + 100));
      loop.RunReady();
    }
    for (const auto& write : late) {
      table.Apply(write.writes_);
    }
    unsigned committed = 0;
    unsigned unknown = 0;
    for (const auto& one : operators) {
      RC_ASSERT(one->remaining_ == 0U);
      committed += one->committed_;
      unknown += one->unknown_;
    }
    unsigned share = 0;
    Revision revision;
    for (const char* name : { "counter-0", "counter-1" }) {
      const auto workspace = ReadWorkspace(table, name);
      RC_ASSERT(workspace.has_value());
      share += workspace->share_;
      revision = std::max(revision, workspace->metadata_.resourceVersion_);
    }
    RC_ASSERT(committed == 12U);
    RC_ASSERT(share >= committed);
    RC_ASSERT(share <= committed + unknown);
    RC_ASSERT(revision == Revision(share));
  }));
}

// Guards against a revision that decreases and against a configuration that
// does not match its revision, when deltas and snapshots are late, repeated or
// missing.
Test(Configuration, RevisionNeverDecreases)
{
  cr_assert(rc::check([] {
    const History history = AnyHistory();
    const std::size_t count = history.changes_.size();
    ConfigState state(*rc::gen::inRange<std::size_t>(1, 40));
    const auto deliveries = *rc::gen::inRange(1, 40);
    for (int delivery = 0; delivery < deliveries; ++delivery) {
      const Revision before = state.CurrentRevision();
      const auto from = *rc::gen::inRange<std::size_t>(0, count);
      const auto to = *rc::gen::inRange<std::size_t>(from, count + 1);
      if (*rc::gen::inRange(0, 3) == 0) {
        state.ApplySnapshot(
          MakeConfiguration(Revision(to), ResourcesOf(history.states_[to])));
      } else {
        state.ApplyChanges({ history.changes_.begin() + long(from),
                             history.changes_.begin() + long(to) });
      }
      const Revision now = state.CurrentRevision();
      RC_ASSERT(now >= before);
      RC_ASSERT(AreEqual(*state.Current(), history.states_[now.Value()]));
      const auto known = state.ChangesAfter(before);
      if (known.has_value()) {
        RC_ASSERT(known->size() == now.Value() - before.Value());
      }
    }
  }));
}

Test(Configuration, ReadAllReadsAllPages)
{
  ManualClock clock;
  EventLoop loop(clock);
  MemoryTable table;
  unsigned tokens = 0;
  ConfigurationStore store(
    loop, table, [&] { return std::to_string(++tokens); });
  for (unsigned index = 0; index < 450; ++index) {
    CommitRequest request;
    request.kind_ = ResourceKind::Workspace;
    request.name_ = "w" + std::to_string(index);
    request.resource_ = WorkspaceWith(request.name_, 1);
    store.Commit(request, [](const CommitResult& aResult) {
      cr_assert_eq(aResult.status_, CommitStatus::Committed);
    });
  }
  std::optional<Configuration> read;
  store.ReadAll([&](std::optional<Configuration> aRead) { read = aRead; });
  cr_assert(read.has_value());
  cr_assert_eq(read->revision_, Revision(450));
  cr_assert_eq(read->workspaces_.size(), 450);
}
