// Sends malformed, oversized and unauthorized input to the HTTP ports of a real
// entry instance. Guards against input that crashes or blocks an instance:
// after each case the instance must still serve requests.

#include "base/Digest.h"
#include "runtime/HttpServer.h"
#include "support/Deployment.h"
#include "support/RawConnection.h"

#include <criterion/criterion.h>

#include <set>

using namespace sycamoreward;

namespace {

constexpr int kTimeoutSeconds = 10;
constexpr std::size_t kOversizedBodyBytes = 64 * 1024 * 1024;

DeploymentOptions
OneInstance()
{
  DeploymentOptions options;
  options.engines_ = 1;
  options.entries_ = 1;
  return options;
}

const std::string kCompletion =
  R"({"model":"resistance-query","prompt":"p","max_tokens":2})";

std::string
RawRequest(const std::string& aLine,
           const std::string& aToken,
           const std::string& aBody)
{
  return aLine + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + aToken +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

int
Exchange(const Address& aAddress, const std::string& aBytes)
{
  RawConnection connection(aAddress);
  connection.Send(aBytes);
  return StatusOf(connection.ReadUntil("\r\n\r\n", kTimeoutSeconds));
}

int
Complete(const Deployment& aDeployment,
         const std::string& aBody,
         const std::string& aToken = kCallerToken)
{
  return Exchange(aDeployment.CallerAddress(0),
                  RawRequest("POST /v1/completions", aToken, aBody));
}

int
Put(const Deployment& aDeployment,
    const std::string& aBody,
    const std::string& aToken = kOperatorToken)
{
  return Exchange(aDeployment.OperatorAddress(0),
                  RawRequest("PUT /apis/v1/Workspace/lab", aToken, aBody));
}

void
ExpectServing(const Deployment& aDeployment, const std::string& aCase)
{
  const int status = Complete(aDeployment, kCompletion);
  cr_assert_eq(
    status, 200, "completion after %s: status %d", aCase.c_str(), status);
  const int ready =
    Exchange(aDeployment.OperatorAddress(0),
             "GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  cr_assert_eq(
    ready, 200, "readiness after %s: status %d", aCase.c_str(), ready);
}

// Status 0 means that the connection was closed without a reply.
void
ExpectOneOf(int aStatus,
            const std::set<int>& aAllowed,
            const std::string& aCase)
{
  cr_assert(aAllowed.count(aStatus) != 0,
            "%s was answered with status %d",
            aCase.c_str(),
            aStatus);
}

std::string
Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

} // namespace

// Sends headers and bodies above the size limits to both ports.
Test(PortError, OversizedInputIsRefused)
{
  Deployment deployment(OneInstance());
  const std::string filler(1024 * 1024, 'a');
  for (const Address& address :
       { deployment.CallerAddress(0), deployment.OperatorAddress(0) }) {
    ExpectOneOf(Exchange(address, "GET /" + filler + " HTTP/1.1\r\n\r\n"),
                { 0, 400, 413, 414, 431 },
                "a long target");
    ExpectOneOf(
      Exchange(address,
               "GET / HTTP/1.1\r\nHost: h\r\nX-A: " + filler + "\r\n\r\n"),
      { 0, 400, 413, 431 },
      "a long header");
    ExpectOneOf(Exchange(address,
                         "POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
                         "Content-Length: " +
                           std::to_string(kOversizedBodyBytes) + "\r\n\r\n" +
                           filler),
                { 0, 413 },
                "a long body");
    RawConnection chunked(address);
    chunked.Send("POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n");
    for (std::size_t sent = 0; sent < kOversizedBodyBytes &&
                               chunked.Send("100000\r\n" + filler + "\r\n");
         sent += filler.size()) {
    }
    ExpectOneOf(StatusOf(chunked.ReadUntil("\r\n\r\n", kTimeoutSeconds)),
                { 0, 400, 413 },
                "a long chunked body");
    ExpectServing(deployment, "oversized input");
  }
}

// Sends data that is not HTTP, or malformed HTTP.
Test(PortError, MalformedHttpIsRefused)
{
  Deployment deployment(OneInstance());
  const std::string auth =
    std::string("Host: h\r\nAuthorization: Bearer ") + kCallerToken + "\r\n";
  const std::vector<std::string> cases{
    std::string(4096, '\0') + "\r\n\r\n",
    "\x16\x03\x01\x02\x01\x01\r\n\r\n",
    "GET\r\n\r\n",
    "GET / HTTP/9.9\r\n\r\n",
    "BREW / HTTP/1.1\r\n" + auth + "\r\n",
    "POST /v1/completions HTTP/1.1\r\n" + auth + "Content-Length: -1\r\n\r\n",
    "POST /v1/completions HTTP/1.1\r\n" + auth +
      "Content-Length: 99999999999999999999\r\n\r\n",
    "POST /v1/completions HTTP/1.1\r\n" + auth +
      "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    "GET /v1/requests/%zz HTTP/1.1\r\n" + auth + "\r\n",
    "GET /v1/requests/%00%0d%0aX HTTP/1.1\r\n" + auth + "\r\n",
    "GET /v1/requests/% HTTP/1.1\r\n" + auth + "\r\n",
    "GET /v1/requests/ HTTP/1.1\r\n" + auth + "\r\n",
    "GET /services/%2e%2e/x?%=%zz&&= HTTP/1.1\r\n" + auth + "\r\n",
    "GET http://h/services/certificate-issue/lookup HTTP/1.1\r\n" + auth +
      "\r\n",
    "GET /services HTTP/1.1\r\n" + auth + "\r\n",
    "GET /services/ HTTP/1.1\r\n" + auth + "\r\n",
    "GET //services//// HTTP/1.1\r\n" + auth + "\r\n"
  };
  for (const std::string& request : cases) {
    // An incomplete request may be answered only after the sender has closed
    // its side of the connection.
    RawConnection connection(deployment.CallerAddress(0));
    connection.Send(request);
    connection.EndSending();
    const int status =
      StatusOf(connection.ReadUntil("\r\n\r\n", kTimeoutSeconds));
    cr_assert(status == 0 || (status >= 400 && status < 600),
              "%.80s was answered with status %d",
              request.c_str(),
              status);
    ExpectServing(deployment, request.substr(0, 80));
  }
}

// Sends bodies that can't be parsed. Deep nesting would overflow the stack of a
// recursive parser, and of a duplicate key it is undefined which value is used.
Test(PortError, InvalidBodiesAreRefused)
{
  Deployment deployment(OneInstance());
  const std::string deep = Nested(2'000'000);
  for (const std::string& body :
       { std::string(),
         std::string("{"),
         std::string("null"),
         std::string("[]"),
         std::string("{\"model\":\"\xff\"}"),
         deep,
         R"({"model":"resistance-query","prompt":"p","x":)" + deep + "}",
         R"({"model":"resistance-query","prompt":"p","stream":)" + deep + "}",
         std::string(R"({"model":"sheet-review","model":"resistance-query",)"
                     R"("prompt":"p"})"),
         std::string(R"({"model":"resistance-query","prompt":7})"),
         std::string(R"({"model":"resistance-query","prompt":"p",)"
                     R"("max_tokens":-1})"),
         std::string(R"({"model":"resistance-query","prompt":"p",)"
                     R"("max_tokens":1e99})") }) {
    const std::string name = body.substr(0, 60);
    ExpectOneOf(Complete(deployment, body), { 400 }, name);
    ExpectOneOf(Put(deployment, body), { 400, 422 }, name);
    ExpectServing(deployment, name);
  }
  // Unknown fields are allowed, because they are meant for the engine.
  cr_assert_eq(
    Complete(
      deployment,
      R"({"model":"resistance-query","prompt":"p","max_tokens":2,"x":1})"),
    200);
}

// Resources with unknown or invalid fields must not change the configuration.
Test(PortError, InvalidResourcesAreRefused)
{
  Deployment deployment(OneInstance());
  const auto before =
    deployment.Get(deployment.OperatorAddress(0), "/apis/v1/Workspace/lab");
  const std::string head = R"({"kind":"Workspace","metadata":{"name":"lab"},)";
  for (const std::string& body :
       { head + R"("spec":{"share":1,"colour":"red"}})",
         head + R"("spec":{"share":"much"}})",
         head + R"("spec":{"share":1},"spec":{"share":2}})",
         head + R"("spec":{"share":-1}})",
         head + R"("spec":[]})",
         std::string(R"({"kind":"Workspace","metadata":{"name":"other"},)"
                     R"("spec":{"share":1}})"),
         std::string(R"({"kind":"Service","metadata":{"name":"lab"},)"
                     R"("spec":{}})") }) {
    ExpectOneOf(Put(deployment, body), { 400, 422 }, body);
  }
  const auto after =
    deployment.Get(deployment.OperatorAddress(0), "/apis/v1/Workspace/lab");
  cr_assert_eq(before.at("spec"), after.at("spec"));
  const char* const badWatch =
    "GET /apis/v1/Workspace?watch=true&resourceVersion=-1";
  for (const std::string target : { "GET /apis/v1/Nothing",
                                    "GET /apis/v1/Workspace/%zz",
                                    "GET /apis/v1/",
                                    badWatch,
                                    "DELETE /apis/v1/Workspace/nobody" }) {
    ExpectOneOf(Exchange(deployment.OperatorAddress(0),
                         RawRequest(target, kOperatorToken, "")),
                { 400, 404, 405, 410 },
                target);
  }
  ExpectServing(deployment, "broken resources");
}

// Sends missing tokens, unknown tokens and tokens of the other port.
Test(PortError, InvalidTokensAreRefused)
{
  Deployment deployment(OneInstance());
  for (const std::string token : { "", "wrong", kOperatorToken }) {
    ExpectOneOf(Complete(deployment, kCompletion, token), { 401 }, token);
  }
  for (const std::string token : { "", "wrong", kCallerToken }) {
    ExpectOneOf(Put(deployment, "{}", token), { 401, 403 }, token);
  }
  cr_assert_eq(Exchange(deployment.CallerAddress(0),
                        "POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
                        "Content-Length: 2\r\n\r\n{}"),
               401);
  ExpectServing(deployment, "wrong tokens");
}

// A lookup of a request of another workspace must not reveal that it exists.
Test(PortError, RequestsOfOtherWorkspacesAreHidden)
{
  Deployment deployment(OneInstance());
  const std::string other = "other-token";
  cr_assert_eq(
    deployment.PutResource(
      0,
      { { "kind", "Workspace" },
        { "metadata", { { "name", "other" } } },
        { "spec",
          { { "share", 1 }, { "tokenDigests", { Sha256Hex(other) } } } } }),
    201);
  deployment.WaitUntilInForce("Workspace", "other");
  HttpClientRequest request;
  request.address_ = deployment.CallerAddress(0);
  request.method_ = HttpMethod::Post;
  request.target_ = "/v1/completions";
  request.body_ = kCompletion;
  request.headers_ = { { "Authorization",
                         std::string("Bearer ") + kCallerToken },
                       { "Idempotency-Key", "mine" } };
  const HttpClientReply reply = deployment.Fetch(request);
  cr_assert_eq(reply.status_, 200);
  const std::string id = FindHeader(reply.headers_, "X-Request-Id");
  const auto lookUp = [&](const std::string& aToken) {
    return Exchange(deployment.CallerAddress(0),
                    RawRequest("GET /v1/requests/" + id, aToken, ""));
  };
  cr_assert(deployment.WaitFor([&] { return lookUp(kCallerToken) == 200; },
                               kTimeoutSeconds));
  cr_assert_eq(lookUp(other), 404);
  ExpectServing(deployment, "a foreign request id");
}

// Guards against a caller that holds a connection forever by sending one byte
// within each idle timeout.
Test(PortError, SlowSenderIsDisconnected)
{
  ManualClock clock;
  EventLoop loop(clock);
  HttpServer server(loop, {}, [](std::shared_ptr<HttpExchange> aExchange) {
    aExchange->Reply(200, {}, "");
  });
  RawConnection connection(server.BoundAddress());
  const auto advance = [&](std::chrono::seconds aTime) {
    clock.Advance(aTime);
    for (int round = 0; round < 20; ++round) {
      loop.RunReady();
    }
  };
  connection.Send("POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\na");
  for (int byte = 0; byte < 4; ++byte) {
    advance(std::chrono::seconds(50));
    connection.Send("a");
  }
  advance(std::chrono::seconds(0));
  cr_assert(connection.IsClosedWithin(1), "the connection is still open");
}
