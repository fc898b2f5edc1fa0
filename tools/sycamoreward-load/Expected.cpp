#include "Expected.h"

#if __has_include("engine/Generate.h")
#include "engine/Generate.h"
#endif

namespace sycamoreward::load {

std::optional<std::string>
ExpectedText(const std::string& aPrompt, std::uint64_t aMaxTokens)
{
#if __has_include("engine/Generate.h")
  return standin::ExpectedAnswer(aPrompt, aMaxTokens);
#else
  (void)aPrompt;
  (void)aMaxTokens;
  return std::nullopt;
#endif
}

} // namespace sycamoreward::load
