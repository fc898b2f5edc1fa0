#include "ledger/Outcome.h"

#include "base/Error.h"

namespace sycamoreward {

const char*
ToString(OutcomeKind aKind)
{
  switch (aKind) {
    case OutcomeKind::Completed:
      return "completed";
    case OutcomeKind::Failed:
      return "failed";
    case OutcomeKind::NotRun:
      return "not_run";
    case OutcomeKind::Unknown:
      break;
  }
  return "unknown";
}

OutcomeKind
ParseOutcomeKind(const std::string& aName)
{
  for (const OutcomeKind kind : { OutcomeKind::Completed,
                                  OutcomeKind::Failed,
                                  OutcomeKind::NotRun,
                                  OutcomeKind::Unknown }) {
    if (aName == ToString(kind)) {
      return kind;
    }
  }
  throw InternalError(
    "outcome", "", "The outcome kind \"" + aName + "\" is unknown.");
}

} // namespace sycamoreward
