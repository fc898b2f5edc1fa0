// Fuzzes the frames between entry instances. Guards against bytes that crash
// the process, and against messages that change when they are decoded and
// encoded again.

#include "base/Error.h"
#include "peer/MessageCodec.h"

#include <cstdlib>

using namespace sycamoreward;

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize) // NOLINT
{
  Frame frame;
  try {
    frame = DecodeMessage({ reinterpret_cast<const char*>(aData), aSize });
  } catch (const UserError&) {
    return 0;
  }
  if (frame.message_) {
    const auto bytes = EncodeMessage(*frame.message_, frame.callId_);
    const Frame again = DecodeMessage(bytes);
    if (!again.message_ ||
        EncodeMessage(*again.message_, again.callId_) != bytes) {
      std::abort();
    }
  }
  return 0;
}
