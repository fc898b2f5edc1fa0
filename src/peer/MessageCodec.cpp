#include "peer/MessageCodec.h"

#include "base/Error.h"
#include "peer/CborCheck.h"
#include "peer/MessageFields.h"

#include <nlohmann/json.hpp>

#include <array>
#include <limits>
#include <type_traits>
#include <utility>

namespace sycamoreward {

namespace {

using Json = nlohmann::json;

// Wire names by index in Message. A released name must not change.
constexpr std::array<const char*, std::variant_size_v<Message>> kTypeNames{
  "Hello",          "Beat",         "Probe",
  "ProbeReply",     "FeedPull",     "FeedDelta",
  "Register",       "Registered",   "Record",
  "Recorded",       "Lookup",       "LookupReply",
  "Follow",         "AnswerPart",   "HandOver",
  "HandOverReply",  "Reports",      "Digest",
  "QuotaRequest",   "QuotaReply",   "PlacementRequest",
  "PlacementReply", "PlacementNews"
};

[[noreturn]] void
ThrowMalformed(const std::string& aMessage)
{
  throw UserError("decode message", "", aMessage);
}

template<typename T>
struct IsStrong : std::false_type
{
};
template<typename Tag, typename Rep>
struct IsStrong<StrongType<Tag, Rep>> : std::true_type
{
};
template<typename T>
struct IsVector : std::false_type
{
};
template<typename T>
struct IsVector<std::vector<T>> : std::true_type
{
};
template<typename T>
struct IsOptional : std::false_type
{
};
template<typename T>
struct IsOptional<std::optional<T>> : std::true_type
{
};

// Serializes the fields of a message to JSON. Empty fields are omitted, since
// readers default to the empty value; they made up a quarter of a heartbeat.
class Writer
{
public:
  template<typename T>
  void operator()(const char* aName, T& aValue)
  {
    Json json = ToJson(aValue);
    if (!IsEmpty(json)) {
      object_[aName] = std::move(json);
    }
  }
  void Binary(const char* aName, std::string& aValue)
  {
    object_[aName] = Json::binary({ aValue.begin(), aValue.end() });
  }
  template<typename T>
  void Enum(const char* aName, T& aValue, T /*aLast*/)
  {
    object_[aName] = static_cast<std::uint64_t>(aValue);
  }

  Json object_ = Json::object();

private:
  static bool IsEmpty(const Json& aJson)
  {
    return aJson.is_null() ||
           (aJson.is_string() &&
            aJson.get_ref<const Json::string_t&>().empty()) ||
           (aJson.is_structured() && aJson.empty());
  }

  template<typename T>
  static Json ToJson(T& aValue)
  {
    if constexpr (IsStrong<T>::value) {
      return Json(aValue.Value());
    } else if constexpr (std::is_same_v<T, Duration>) {
      return Json(aValue.count());
    } else if constexpr (std::is_same_v<T, WallTime>) {
      return Json(aValue.time_since_epoch().count());
    } else if constexpr (IsVector<T>::value) {
      Json list = Json::array();
      for (auto& item : aValue) {
        list.push_back(ToJson(item));
      }
      return list;
    } else if constexpr (IsOptional<T>::value) {
      return aValue.has_value() ? ToJson(*aValue) : Json(nullptr);
    } else if constexpr (std::is_constructible_v<Json, T&>) {
      return Json(aValue);
    } else {
      Writer inner;
      Describe(inner, aValue);
      return std::move(inner.object_);
    }
  }
};

// Deserializes the fields of a message from JSON and validates their types.
class Reader
{
public:
  explicit Reader(const Json& aObject)
    : object_(aObject)
  {
    if (!object_.is_object()) {
      ThrowMalformed("A message or one of its nested objects is not a map.");
    }
  }

  template<typename T>
  void operator()(const char* aName, T& aValue)
  {
    const auto found = object_.find(aName);
    if (found != object_.end()) {
      Read(*found, aValue, aName);
    }
  }
  void Binary(const char* aName, std::string& aValue)
  {
    const auto found = object_.find(aName);
    if (found == object_.end()) {
      return;
    }
    if (!found->is_binary()) {
      ThrowWrongType(aName);
    }
    aValue.assign(found->get_binary().begin(), found->get_binary().end());
  }
  template<typename T>
  void Enum(const char* aName, T& aValue, T aLast)
  {
    auto number = static_cast<std::uint64_t>(aValue);
    (*this)(aName, number);
    if (number > static_cast<std::uint64_t>(aLast)) {
      ThrowMalformed("The field \"" + std::string(aName) + "\" has the value " +
                     std::to_string(number) +
                     ", which this version does not know.");
    }
    aValue = static_cast<T>(number);
  }

private:
  [[noreturn]] static void ThrowWrongType(const char* aName)
  {
    ThrowMalformed("The field \"" + std::string(aName) +
                   "\" has the wrong type or is out of range.");
  }

  template<typename T>
  static void ReadInteger(const Json& aJson, T& aValue, const char* aName)
  {
    if (aJson.is_number_unsigned()) {
      const auto number = aJson.get<std::uint64_t>();
      if (number > static_cast<std::uint64_t>(std::numeric_limits<T>::max())) {
        ThrowWrongType(aName);
      }
      aValue = static_cast<T>(number);
    } else if (std::is_signed_v<T> && aJson.is_number_integer()) {
      const auto number = aJson.get<std::int64_t>();
      if (number < static_cast<std::int64_t>(std::numeric_limits<T>::min())) {
        ThrowWrongType(aName);
      }
      aValue = static_cast<T>(number);
    } else {
      ThrowWrongType(aName);
    }
  }

  template<typename T>
  static void Read(const Json& aJson, T& aValue, const char* aName)
  {
    if constexpr (IsStrong<T>::value) {
      typename T::value_type inner{};
      Read(aJson, inner, aName);
      aValue = T(std::move(inner));
    } else if constexpr (std::is_same_v<T, Duration>) {
      Duration::rep count = 0;
      ReadInteger(aJson, count, aName);
      aValue = Duration(count);
    } else if constexpr (std::is_same_v<T, WallTime>) {
      Duration::rep count = 0;
      ReadInteger(aJson, count, aName);
      aValue = WallTime(Duration(count));
    } else if constexpr (std::is_same_v<T, bool>) {
      if (!aJson.is_boolean()) {
        ThrowWrongType(aName);
      }
      aValue = aJson.get<bool>();
    } else if constexpr (std::is_integral_v<T>) {
      ReadInteger(aJson, aValue, aName);
    } else if constexpr (std::is_same_v<T, std::string>) {
      if (!aJson.is_string()) {
        ThrowWrongType(aName);
      }
      aValue = aJson.get_ref<const std::string&>();
    } else if constexpr (IsOptional<T>::value) {
      if (aJson.is_null()) {
        aValue.reset();
      } else {
        Read(aJson, aValue.emplace(), aName);
      }
    } else if constexpr (IsVector<T>::value) {
      if (!aJson.is_array()) {
        ThrowWrongType(aName);
      }
      aValue.clear();
      for (const Json& item : aJson) {
        Read(item, aValue.emplace_back(), aName);
      }
    } else if constexpr (std::is_same_v<T,
                                        std::map<std::string, std::uint64_t>>) {
      if (!aJson.is_object()) {
        ThrowWrongType(aName);
      }
      aValue.clear();
      for (const auto& [key, item] : aJson.items()) {
        Read(item, aValue[key], aName);
      }
    } else {
      Reader inner(aJson);
      Describe(inner, aValue);
    }
  }

  const Json& object_;
};

Json
Parse(std::string_view aBytes)
{
  if (aBytes.size() > kMaxFrameSize.Value()) {
    ThrowMalformed("A frame of " + std::to_string(aBytes.size()) +
                   " bytes exceeds the limit of 16 MiB.");
  }
  if (!IsSupportedCbor(aBytes)) {
    ThrowMalformed("A frame is not a single well-formed CBOR item, has tags or "
                   "indefinite lengths, or is nested too deeply.");
  }
  try {
    return Json::from_cbor(aBytes.begin(), aBytes.end());
  } catch (const Json::exception& error) {
    ThrowMalformed("A frame is not CBOR: " + std::string(error.what()));
  }
}

template<std::size_t I>
Message
ReadBody(const Json& aBody)
{
  std::variant_alternative_t<I, Message> body;
  Reader reader(aBody);
  Describe(reader, body);
  return body;
}

template<std::size_t... I>
Message
ReadBodyAt(std::size_t aIndex,
           const Json& aBody,
           std::index_sequence<I...> /*aIndices*/)
{
  using ReadFunction = Message (*)(const Json&);
  static constexpr ReadFunction kReaders[] = { &ReadBody<I>... };
  return kReaders[aIndex](aBody);
}

} // namespace

const char*
MessageTypeName(std::size_t aIndex)
{
  return kTypeNames.at(aIndex);
}

std::string
EncodeMessage(const Message& aMessage, std::uint64_t aCallId)
{
  Writer body;
  std::visit(
    [&](const auto& aAlternative) {
      // Describe takes a mutable reference because Reader assigns the fields.
      auto copy = aAlternative;
      Describe(body, copy);
    },
    aMessage);
  Json frame{ { "type", MessageTypeName(aMessage.index()) },
              { "v", kProtocolVersion },
              { "id", aCallId } };
  frame["body"] = std::move(body.object_);
  std::string bytes;
  Json::to_cbor(frame, bytes);
  if (bytes.size() > kMaxFrameSize.Value()) {
    throw UserError("encode message",
                    "",
                    "A " + std::string(MessageTypeName(aMessage.index())) +
                      " message of " + std::to_string(bytes.size()) +
                      " bytes exceeds the limit of 16 MiB.");
  }
  return bytes;
}

Frame
DecodeMessage(std::string_view aBytes)
{
  const Json json = Parse(aBytes);
  Frame frame;
  Reader reader(json);
  reader("type", frame.type_);
  reader("v", frame.protocol_);
  reader("id", frame.callId_);
  if (frame.type_.empty()) {
    ThrowMalformed("A frame has no type.");
  }
  for (std::size_t index = 0; index < kTypeNames.size(); ++index) {
    if (frame.type_ == kTypeNames[index]) {
      const auto body = json.find("body");
      frame.message_ =
        ReadBodyAt(index,
                   body == json.end() ? Json::object() : *body,
                   std::make_index_sequence<std::variant_size_v<Message>>());
      break;
    }
  }
  return frame;
}

} // namespace sycamoreward
