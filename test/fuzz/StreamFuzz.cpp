// Fuzzes the parser of event streams from engines. Guards against events that
// depend on how the data is split into reads, and against an answer that is
// complete although a part is missing.

#include "recovery/AnswerAssembler.h"
#include "recovery/SseParser.h"
#include "requests/ModelCall.h"

#include <cstdlib>

using namespace sycamoreward;

namespace {

constexpr std::uint64_t kMaxEvent = 256;

// Parses aData in reads of at most aPiece bytes. aIsReadable is set to false if
// the parser rejects the data.
std::vector<std::string>
ParseInPieces(std::string_view aData, std::size_t aPiece, bool& aIsReadable)
{
  SseParser parser{ Bytes(kMaxEvent) };
  std::vector<std::string> events;
  aIsReadable = true;
  while (!aData.empty() && aIsReadable) {
    const std::size_t length = std::min(aPiece, aData.size());
    aIsReadable = parser.Feed(aData.substr(0, length), events);
    aData.remove_prefix(length);
  }
  return events;
}

void
Assemble(const std::vector<std::string>& aEvents)
{
  AnswerAssembler assembler;
  assembler.BeginAttempt(AttemptNumber(1));
  std::size_t accepted = 0;
  for (const std::string& data : aEvents) {
    const auto event = ParseEngineEvent(data);
    if (!event) {
      continue;
    }
    if (event->isDone_) {
      assembler.End(AttemptNumber(1), PartIndex(accepted));
    } else if (assembler.Accept(event->attempt_, event->index_, event->text_) ==
               PartVerdict::Accepted) {
      ++accepted;
    }
  }
  if (assembler.Parts().size() != accepted) {
    std::abort();
  }
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize) // NOLINT
{
  if (aSize == 0) {
    return 0;
  }
  // The first byte selects the length of the reads.
  const std::string_view data(reinterpret_cast<const char*>(aData) + 1,
                              aSize - 1);
  bool isUnsplitReadable = true;
  bool isSplitReadable = true;
  const auto unsplit = ParseInPieces(data, data.size() + 1, isUnsplitReadable);
  const auto split = ParseInPieces(data, aData[0] % 16 + 1, isSplitReadable);
  if (unsplit != split || isUnsplitReadable != isSplitReadable) {
    std::abort();
  }
  Assemble(unsplit);
  return 0;
}
