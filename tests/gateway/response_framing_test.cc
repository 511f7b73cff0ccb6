// Responses of backend servers without a length: complete ones and truncated
// ones.
#include <catch2/catch.hpp>

#include "fakes/gateway_fixture.h"

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a response without a length that ends in a reset is not forwarded") {
  GatewayFixture fixture;
  transport::Timer later(&fixture.loop);
  fixture.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    call.session->Write("HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\nhalf");
    later.Start(milliseconds(20),
                [session = call.session] { session->Reset(); });
  });
  TestClient& client = fixture.Call("/once/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return client.Status() != 0; }));
  CHECK(client.Status() == 502);
}

TEST_CASE("a reset that arrives together with data is not an orderly close") {
  GatewayFixture fixture;
  fixture.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    call.session->Write("HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\nhalf");
    call.session->Reset();
  });
  TestClient& client = fixture.Call("/once/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return client.Status() != 0; }));
  CHECK(client.Status() == 502);
}

TEST_CASE("a response without a length that ends in order is forwarded whole") {
  GatewayFixture fixture;
  fixture.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    call.session->Write("HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\nall");
    call.session->Close();
  });
  TestClient& client = fixture.Call("/once/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return client.Has("all"); }));
  CHECK(client.Status() == 200);
  CHECK(client.Has("Content-Length: 3"));
}

TEST_CASE("responses are counted by framing and by how they ended") {
  GatewayFixture fixture;
  const std::string head = "HTTP/1.1 200 OK\r\nAttempt: a1\r\n";
  const std::string event = "id: 1\ndata: x\n\n";
  std::string answer;
  std::string counter;
  SECTION("by length") {
    answer = head + "Content-Length: 15\r\n\r\n" + event;
    counter = R"({end="complete",framing="length"} 1)";
  }
  SECTION("by chunks") {
    answer = head + "Transfer-Encoding: chunked\r\n\r\n" +
             transport::EncodeChunk(event) + std::string(transport::kLastChunk);
    counter = R"({end="complete",framing="chunked"} 1)";
  }
  SECTION("by the end of the connection") {
    answer = head + "\r\n" + event;
    counter = R"({end="complete",framing="close"} 1)";
  }
  SECTION("by the end of the connection, inside an event") {
    answer = head + "\r\n" + event + "id: 2\nda";
    counter = R"({end="inside_event",framing="close"} 1)";
  }
  SECTION("by chunks, without the last one") {
    answer = head + "Transfer-Encoding: chunked\r\n\r\n" +
             transport::EncodeChunk(event);
    counter = R"({end="connection_broken",framing="chunked"} 1)";
  }
  fixture.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    call.session->Write(answer);
    call.session->Close();
  });
  fixture.Call("/talk/x", "a1");
  const auto metrics = [&] { return fixture.context.metrics.Text(); };
  CHECK(fixture.RunUntil([&] {
    return metrics().find("wasabiwall_backend_responses_total" + counter) !=
           std::string::npos;
  }));
}

}  // namespace
}  // namespace wasabiwall::fakes
