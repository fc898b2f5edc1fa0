// Round trips of the messages between entry instances.

#include "base/Error.h"
#include "peer/MessageCodec.h"
#include "peer/MessageFields.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace sycamoreward;

namespace {

// Fills a message with arbitrary values, field by field.
class Filler
{
public:
  template<typename T>
  void operator()(const char* /*aName*/, T& aValue)
  {
    Fill(aValue);
  }
  void Binary(const char* /*aName*/, std::string& aValue) { Fill(aValue); }
  template<typename T>
  void Enum(const char* /*aName*/, T& aValue, T aLast)
  {
    aValue = static_cast<T>(*rc::gen::inRange(0, static_cast<int>(aLast) + 1));
  }

private:
  template<typename Tag, typename Rep>
  void Fill(StrongType<Tag, Rep>& aValue)
  {
    Rep inner{};
    Fill(inner);
    aValue = StrongType<Tag, Rep>(inner);
  }
  void Fill(std::string& aValue)
  {
    aValue = *rc::gen::arbitrary<std::string>();
  }
  void Fill(bool& aValue) { aValue = *rc::gen::arbitrary<bool>(); }
  void Fill(Duration& aValue)
  {
    aValue = Duration(*rc::gen::arbitrary<Duration::rep>());
  }
  void Fill(WallTime& aValue)
  {
    aValue = WallTime(Duration(*rc::gen::arbitrary<Duration::rep>()));
  }
  template<typename T>
  std::enable_if_t<std::is_integral_v<T>> Fill(T& aValue)
  {
    aValue = *rc::gen::arbitrary<T>();
  }
  void Fill(std::map<std::string, std::uint64_t>& aValue)
  {
    aValue = *rc::gen::arbitrary<std::map<std::string, std::uint64_t>>();
  }
  template<typename T>
  void Fill(std::optional<T>& aValue)
  {
    aValue.reset();
    if (*rc::gen::arbitrary<bool>()) {
      Fill(aValue.emplace());
    }
  }
  template<typename T>
  void Fill(std::vector<T>& aValue)
  {
    aValue.resize(*rc::gen::inRange<std::size_t>(0, 4));
    for (T& item : aValue) {
      Fill(item);
    }
  }
  template<typename T>
  std::enable_if_t<std::is_class_v<T>> Fill(T& aValue)
  {
    Describe(*this, aValue);
  }
};

template<std::size_t I>
void
CheckRoundTrips()
{
  const bool isPassed = rc::check(MessageTypeName(I), [] {
    std::variant_alternative_t<I, Message> body;
    Filler filler;
    Describe(filler, body);
    const auto number = *rc::gen::arbitrary<std::uint64_t>();
    const std::string bytes = EncodeMessage(body, number);
    // Adds fields that this version does not know.
    auto json = nlohmann::json::from_cbor(bytes);
    json["later"] = { { "x", 1 } };
    json["body"]["later"] = "y";
    std::string extended;
    nlohmann::json::to_cbor(json, extended);
    for (const std::string& form : { bytes, extended }) {
      const Frame frame = DecodeMessage(form);
      RC_ASSERT(frame.message_.has_value());
      RC_ASSERT(frame.message_->index() == I);
      RC_ASSERT(EncodeMessage(*frame.message_, frame.callId_) == bytes);
    }
  });
  cr_assert(isPassed);
  if constexpr (I + 1 < std::variant_size_v<Message>) {
    CheckRoundTrips<I + 1>();
  }
}

bool
IsRefused(const std::string& aBytes)
{
  try {
    DecodeMessage(aBytes);
    return false;
  } catch (const UserError&) {
    return true;
  }
}

} // namespace

// Guards against a field that is written but not read, or read under another
// name, and against rejecting fields of a later version.
Test(PeerCodec, EachMessageRoundTripsWithUnknownFields)
{
  CheckRoundTrips<0>();
}

// Guards against crashes and uncaught parser exceptions on arbitrary bytes.
Test(PeerCodec, ArbitraryBytesAreRefused)
{
  cr_assert(rc::check([](std::string aBytes) {
    try {
      DecodeMessage(aBytes);
    } catch (const UserError&) {
    }
  }));
  cr_assert(rc::check("truncated and modified frames", [] {
    FeedDelta delta;
    Filler filler;
    Describe(filler, delta);
    std::string bytes = EncodeMessage(delta, 7);
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
      *rc::gen::arbitrary<char>();
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    try {
      DecodeMessage(bytes);
    } catch (const UserError&) {
    }
  }));
}

Test(PeerCodec, UnknownTypesAreReportedAndBadFieldsRefused)
{
  nlohmann::json json{ { "type", "Later" }, { "id", 3 }, { "body", 5 } };
  std::string bytes;
  nlohmann::json::to_cbor(json, bytes);
  const Frame frame = DecodeMessage(bytes);
  cr_assert_eq(frame.type_, std::string("Later"));
  cr_assert_eq(frame.callId_, 3);
  cr_assert_not(frame.message_.has_value());

  for (const nlohmann::json& bad :
       { nlohmann::json{ { "type", "Follow" }, { "body", 5 } },
         nlohmann::json{ { "type", "Follow" }, { "body", { { "from", -1 } } } },
         nlohmann::json{ { "type", "AnswerPart" },
                         { "body", { { "kind", 99 } } } },
         nlohmann::json{ { "v", 1 } } }) {
    bytes.clear();
    nlohmann::json::to_cbor(bad, bytes);
    cr_assert(IsRefused(bytes), "%s was accepted", bad.dump().c_str());
  }
  // Deeply nested, unterminated arrays would exhaust the stack of a recursive
  // parser.
  cr_assert(IsRefused(std::string(1'000'000, '\x81')));
  cr_assert(IsRefused(std::string(kMaxFrameSize.Value() + 1, '\0')));
}
