// Sends malformed input to the peer port of a real entry instance. Guards
// against a peer that crashes or blocks an instance; after each case the
// instance must still serve other peers.

#include "peer/MessageCodec.h"
#include "support/Deployment.h"
#include "support/RawConnection.h"

#include <criterion/criterion.h>

using namespace sycamoreward;

namespace {

constexpr int kTimeoutSeconds = 10;
// First byte of a final WebSocket fragment with binary data.
constexpr unsigned char kBinary = 0x82;
constexpr std::size_t kMegabyte = 1024 * 1024;

DeploymentOptions
OneInstance()
{
  DeploymentOptions options;
  options.engines_ = 1;
  options.services_ = 0;
  options.entries_ = 1;
  return options;
}

Address
PeerAddressOf(Deployment& aDeployment)
{
  return ParseAddress(nlohmann::json::parse(aDeployment.Entry(0).FirstLine())
                        .at("peers")
                        .get<std::string>());
}

std::string
HelloFrame()
{
  Hello hello;
  hello.identity_.instance_ = InstanceId("tester");
  hello.identity_.incarnation_ = Incarnation(1);
  hello.identity_.failureDomain_ = FailureDomainId("scot-central-b");
  hello.identity_.region_ = RegionId(Deployment::kRegion);
  hello.identity_.peerAddress_ = Address{ "127.0.0.1", 9 };
  return WebSocketFrame(kBinary, EncodeMessage(hello, 0));
}

// Completes the WebSocket handshake and the exchange of Hello.
void
CompleteHandshake(RawConnection& aConnection)
{
  aConnection.Send(WebSocketHandshake() + HelloFrame());
  aConnection.ReadUntil("Hello", kTimeoutSeconds);
}

bool
AnswersProbe(RawConnection& aConnection)
{
  aConnection.Send(WebSocketFrame(kBinary, EncodeMessage(Probe{}, 7)));
  return aConnection.ReadUntil("ProbeReply", kTimeoutSeconds)
           .find("ProbeReply") != std::string::npos;
}

void
ExpectServing(const Address& aAddress, const std::string& aCase)
{
  RawConnection connection(aAddress);
  CompleteHandshake(connection);
  cr_assert(AnswersProbe(connection), "no reply after %s", aCase.c_str());
}

std::string
CborText(const std::string& aText)
{
  return char(0x60 + aText.size()) + aText;
}

// Returns a CBOR message of type aType with the encoded body aBody.
std::string
MessageWith(const std::string& aType, const std::string& aBody)
{
  return "\xA2" + CborText("type") + CborText(aType) + CborText("body") + aBody;
}

} // namespace

// Connections without a valid handshake are closed in bounded time.
Test(PeerError, ClosesOnInvalidHandshakes)
{
  Deployment deployment(OneInstance());
  const Address address = PeerAddressOf(deployment);
  const std::string unknownVersion =
    "GET /peer HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n"
    "Connection: Upgrade\r\nSec-WebSocket-Version: 99\r\n"
    "Sec-WebSocket-Key: x\r\n\r\n";
  const std::vector<std::string> cases{
    "",
    "GET /peer HTTP/1.1\r\n",
    std::string(kMegabyte, '\0'),
    "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
    "GET /peer HTTP/1.1\r\nHost: h\r\nX-A: " + std::string(kMegabyte, 'a') +
      "\r\n\r\n",
    unknownVersion,
    WebSocketHandshake()
  };
  for (const std::string& bytes : cases) {
    RawConnection connection(address);
    connection.Send(bytes);
    cr_assert(connection.IsClosedWithin(kTimeoutSeconds),
              "still open after %.60s",
              bytes.c_str());
    ExpectServing(address, bytes.substr(0, 60));
  }
}

// A connection that sends single bytes slowly before Hello is closed as well.
Test(PeerError, ClosesSlowHandshakes)
{
  Deployment deployment(OneInstance());
  RawConnection connection(PeerAddressOf(deployment));
  const std::string bytes = WebSocketHandshake();
  bool isOpen = true;
  for (std::size_t at = 0; at < 40 && isOpen; ++at) {
    connection.Send(bytes.substr(at, 1));
    isOpen = !connection.IsClosedWithin(1);
  }
  cr_assert_not(isOpen, "the connection is still open");
  ExpectServing(PeerAddressOf(deployment), "a slow handshake");
}

// Frames that violate the WebSocket protocol or announce an excessive length
// close the connection.
Test(PeerError, ClosesOnInvalidWebSocketFrames)
{
  Deployment deployment(OneInstance());
  const Address address = PeerAddressOf(deployment);
  const std::string zeros(4, '\0');
  const std::vector<std::pair<std::string, std::string>> cases{
    { "an unmasked frame", std::string("\x82\x01x", 3) },
    { "a reserved bit", WebSocketFrame(0xF2, "x") },
    { "a reserved opcode", WebSocketFrame(0x83, "x") },
    { "a fragmented ping", WebSocketFrame(0x09, "x") },
    { "a long ping", WebSocketFrame(0x89, std::string(200, 'x')) },
    { "a continuation of nothing", WebSocketFrame(0x80, "x") },
    { "a length of 2^63",
      std::string("\x82\xFF\x80", 3) + std::string(7, '\0') + zeros },
    { "a length of 1 TiB",
      std::string("\x82\xFF\x00\x00\x01", 5) + std::string(5, '\0') + zeros },
    { "17 MiB", WebSocketFrame(kBinary, std::string(17 * kMegabyte, 'x')) }
  };
  for (const auto& [name, bytes] : cases) {
    RawConnection connection(address);
    CompleteHandshake(connection);
    connection.Send(bytes);
    cr_assert(connection.IsClosedWithin(kTimeoutSeconds),
              "still open after %s",
              name.c_str());
    ExpectServing(address, name);
  }
}

// Frames that cannot be decoded close the connection. Nested strings of
// indefinite length had exhausted the parser's stack.
Test(PeerError, ClosesOnInvalidMessages)
{
  Deployment deployment(OneInstance());
  const Address address = PeerAddressOf(deployment);
  const std::vector<std::pair<std::string, std::string>> cases{
    { "no message", std::string() },
    { "a number", std::string("\x01") },
    { "no type", std::string("\xA0") },
    { "strings in strings", std::string(8 * kMegabyte, '\x7F') },
    { "byte strings in byte strings", std::string(8 * kMegabyte, '\x5F') },
    { "deep lists", std::string(8 * kMegabyte, '\x81') },
    { "deep lists without a length", std::string(8 * kMegabyte, '\x9F') },
    { "2^64 - 1 members",
      MessageWith("Beat",
                  "\xA1" + CborText("members") + "\x9B" +
                    std::string(8, '\xFF')) },
    { "2^62 members",
      MessageWith("Beat",
                  "\xA1" + CborText("members") + "\x9B\x40" +
                    std::string(7, '\0')) },
    { "a map of 2^63 pairs", "\xBB\x80" + std::string(7, '\0') },
    { "a text of 2^32 bytes", std::string("\x7A\xFF\xFF\xFF\xFF", 5) },
    { "a type that is a number",
      "\xA1" + CborText("type") + std::string("\x01") },
    { "a field of a wrong type",
      MessageWith("Beat", "\xA1" + CborText("incarnation") + CborText("x")) },
    { "an unknown state",
      MessageWith("FeedPull", "\xA1" + CborText("feed") + "\x18\x63") },
    { "bytes after the end", EncodeMessage(Probe{}, 1) + "x" }
  };
  for (const auto& [name, bytes] : cases) {
    RawConnection connection(address);
    CompleteHandshake(connection);
    connection.Send(WebSocketFrame(kBinary, bytes));
    cr_assert(connection.IsClosedWithin(kTimeoutSeconds),
              "still open after %s",
              name.c_str());
    ExpectServing(address, name);
  }
}

// Messages and fields of a later version leave the connection open.
Test(PeerError, UnknownTypesAndFieldsAreIgnored)
{
  Deployment deployment(OneInstance());
  RawConnection connection(PeerAddressOf(deployment));
  CompleteHandshake(connection);
  for (const std::string& message :
       { MessageWith("NewType", "\xA0"),
         MessageWith("FeedPull", "\xA1" + CborText("colour") + CborText("x")),
         MessageWith("FeedPull",
                     "\xA2" + CborText("after") + "\x01" + CborText("after") +
                       "\x02"),
         EncodeMessage(ProbeReply{}, 99) }) {
    connection.Send(WebSocketFrame(kBinary, message));
  }
  cr_assert(AnswersProbe(connection), "the connection was closed");
}

// Messages from a peer that has not sent Hello are refused.
Test(PeerError, MessagesBeforeHelloAreRefused)
{
  Deployment deployment(OneInstance());
  RawConnection connection(PeerAddressOf(deployment));
  connection.Send(WebSocketHandshake() +
                  WebSocketFrame(kBinary, EncodeMessage(Probe{}, 1)));
  cr_assert(connection.IsClosedWithin(kTimeoutSeconds));
  ExpectServing(PeerAddressOf(deployment), "a message before Hello");
}
