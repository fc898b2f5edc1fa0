// Fuzzes the parsers of HTTP heads and bodies. Guards against input that
// crashes the process or makes the decoder consume more bytes than it was
// given.

#include "base/Error.h"
#include "http/BodyDecoder.h"
#include "http/Head.h"

#include <cstdlib>

using namespace sycamoreward;
using namespace sycamoreward::http;

namespace {

void
ReadBody(const Framing& aFraming, std::string_view aBytes)
{
  BodyDecoder decoder(aFraming, BodyDecoder::Trailer::Refused);
  std::string body;
  while (!decoder.IsDone() && !aBytes.empty()) {
    // Small steps, because reads may split the data anywhere.
    const std::string_view step = aBytes.substr(0, 3);
    const std::size_t taken = decoder.Decode(step, body);
    if (taken > step.size()) {
      std::abort();
    }
    if (taken == 0) {
      break;
    }
    aBytes.remove_prefix(taken);
  }
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize) // NOLINT
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  const std::size_t end = FindHeadEnd(bytes);
  if (end == std::string_view::npos) {
    return 0;
  }
  const std::string_view rest = bytes.substr(end);
  try {
    const RequestHead head = ParseRequestHead(bytes.substr(0, end));
    // An accepted head must have the same number of fields after it is
    // serialized and parsed again.
    RequestHead reparsed = ParseRequestHead(Serialize(head));
    if (reparsed.fields_.size() != head.fields_.size()) {
      std::abort();
    }
    ReadBody(RequestFraming(head), rest);
  } catch (const UserError&) {
  }
  try {
    const ResponseHead head = ParseResponseHead(bytes.substr(0, end));
    ReadBody(ResponseFraming(head, "GET"), rest);
  } catch (const UserError&) {
  }
  return 0;
}
