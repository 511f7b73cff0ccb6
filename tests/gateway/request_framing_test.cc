// Requests of callers that break off.
#include <catch2/catch.hpp>

#include "fakes/gateway_fixture.h"

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a request that closes before its end is not forwarded") {
  const std::string head =
      "POST /safe/x HTTP/1.1\r\nHost: host\r\nAttempt: a1\r\n";
  const std::string whole =
      GENERATE_COPY(head + "Content-Length: 5\r\n\r\nabcde",
                    head +
                        "Transfer-Encoding: chunked\r\n\r\n"
                        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  GatewayFixture fixture;
  const auto& backend =
      fixture.AddBackend("b", [](const ScriptedBackend::Received& call) {
        call.session->Write(PlainAnswer("a1", 200, "served"));
      });
  for (std::size_t cut = 1; cut < whole.size(); ++cut) {
    TestClient& client = fixture.Connect();
    client.Send(whole.substr(0, cut));
    client.Close();
  }
  fixture.RunFor(milliseconds(100));
  CHECK(backend.Requests().empty());
  TestClient& client = fixture.Connect();
  client.Send(whole);
  REQUIRE(fixture.RunUntil([&] { return client.Has("served"); }));
  CHECK(backend.Requests().front().body == "abcde");
}

}  // namespace
}  // namespace wasabiwall::fakes
