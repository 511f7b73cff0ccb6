// Legal requests of unusual form are served; refusals of others are true.
#include <catch2/catch.hpp>
#include <string>

#include "fakes/gateway_fixture.h"

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Limits of the configuration that the tests state.
constexpr std::size_t kMaxHeadBytes = 16384;
constexpr std::size_t kMaxBodyBytes = 4194304;

std::string Repeated(const std::string& text, std::size_t count) {
  std::string all;
  all.reserve(text.size() * count);
  for (std::size_t i = 0; i < count; ++i) all += text;
  return all;
}

transport::GatewayOptions SmallOptions() {
  auto options = GatewayFixture::DefaultOptions();
  options.memory_mb = 40;
  return options;
}

ScriptedBackend& AddEchoBackend(GatewayFixture* fixture) {
  return fixture->AddBackend("b", [](const ScriptedBackend::Received& call) {
    call.session->Write(
        PlainAnswer(*call.head.headers.Find("Attempt"), 200,
                    "served" + std::to_string(call.body.size())));
  });
}

TEST_CASE("a single head of one-character fields of the largest size passes") {
  GatewayFixture fixture(SmallOptions());
  const auto& backend = AddEchoBackend(&fixture);
  const std::string start =
      "GET /safe/x HTTP/1.1\r\nHost: host\r\nAttempt: a1\r\n";
  const std::size_t fields = (kMaxHeadBytes - start.size() - 2) / 4;
  TestClient& client = fixture.Connect();
  client.Send(start + Repeated("a:\r\n", fields) + "\r\n");
  REQUIRE(fixture.RunUntil([&] { return client.Status() != 0; }));
  CHECK(client.Status() == 200);
  CHECK(backend.Requests().front().head.headers.Fields().size() >= fields);
}

TEST_CASE("heads over the limit are refused by their whole size") {
  GatewayFixture fixture(SmallOptions());
  const auto& backend = AddEchoBackend(&fixture);
  TestClient& client = fixture.Connect();
  // The names and values alone are below the limit.
  client.Send("GET /safe/x HTTP/1.1\r\nHost: host\r\nAttempt: a1\r\n" +
              Repeated("a:\r\n", 6000) + "\r\n");
  REQUIRE(fixture.RunUntil([&] { return client.Status() != 0; }));
  CHECK(client.Status() == 431);
  CHECK(backend.Requests().empty());
}

TEST_CASE("a single body of the largest size in one-byte chunks passes") {
  GatewayFixture fixture(SmallOptions());
  auto config = GatewayFixture::MakeConfig(9);
  config->limits.max_body_bytes = kMaxBodyBytes;
  config->limits.header_timeout = seconds(30);
  config->Index();
  fixture.context.ApplyConfig(config);
  AddEchoBackend(&fixture);
  TestClient& client = fixture.Connect();
  client.Send(
      "POST /safe/x HTTP/1.1\r\nHost: host\r\nAttempt: a1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n" +
      Repeated("1\r\nb\r\n", kMaxBodyBytes) + "0\r\n\r\n");
  for (int i = 0; i < 10 && client.Status() == 0; ++i) {
    fixture.RunUntil([&] { return client.Status() != 0; });
  }
  CHECK(client.Status() == 200);
  CHECK(client.Has("served" + std::to_string(kMaxBodyBytes)));
}

TEST_CASE("pipelined requests are served in order by a caller that reads") {
  constexpr int requests = 50;
  GatewayFixture fixture(SmallOptions());
  const std::string body(100000, 'r');
  const auto& backend =
      fixture.AddBackend("b", [&](const ScriptedBackend::Received& call) {
        const std::string attempt = *call.head.headers.Find("Attempt");
        call.session->Write(
            PlainAnswer(attempt, 200, body + "end-" + attempt + ";"));
      });
  std::string all;
  for (int i = 0; i < requests; ++i) {
    all += RequestText("/safe/x", "a" + std::to_string(i));
  }
  TestClient& client = fixture.Connect();
  client.Send(all);
  REQUIRE(fixture.RunUntil([&] {
    return client.Has("end-a" + std::to_string(requests - 1) + ";");
  }));
  std::size_t at = 0;
  for (int i = 0; i < requests; ++i) {
    at = client.Received().find("end-a" + std::to_string(i) + ";", at);
    REQUIRE(at != std::string::npos);
  }
  CHECK(backend.Requests().size() == requests);
}

TEST_CASE("a request is refused for lack of room only if it has not run") {
  constexpr int callers = 60;
  GatewayFixture fixture(SmallOptions());
  // What callers may hold together is an eighth of what they send.
  fixture.context.clients.SetLimits(ingress::LimitsOf(2U << 20U));
  const auto& backend = AddEchoBackend(&fixture);
  std::vector<TestClient*> clients;
  const std::string fields = Repeated("a:\r\n", 3700);
  for (int i = 0; i < callers; ++i) {
    clients.push_back(&fixture.Connect());
    clients.back()->Send("POST /once/x HTTP/1.1\r\nHost: host\r\nAttempt: a" +
                         std::to_string(i) + "\r\nContent-Length: 60000\r\n" +
                         fields + "\r\n" + std::string(59999, 'b'));
  }
  fixture.RunFor(milliseconds(100));
  for (TestClient* client : clients) {
    if (!client->Ended()) client->Send("b");
  }
  REQUIRE(fixture.RunUntil([&] {
    return std::ranges::all_of(clients, [](const TestClient* client) {
      return client->Status() != 0 || client->Ended();
    });
  }));
  int refused = 0;
  for (int i = 0; i < callers; ++i) {
    const int status = clients[static_cast<std::size_t>(i)]->Status();
    const bool has_run = std::ranges::any_of(
        backend.Requests(), [&](const ScriptedBackend::Received& call) {
          return *call.head.headers.Find("Attempt") == "a" + std::to_string(i);
        });
    CHECK((status == 503 || status == 200 || status == 0));
    if (status == 200) CHECK(has_run);
    if (status != 503) continue;
    ++refused;
    CHECK_FALSE(has_run);
    CHECK(clients[static_cast<std::size_t>(i)]->Has("Retry-After: "));
  }
  CHECK(refused > 0);
  CHECK_FALSE(fixture.context.clients.IsOver());
}

TEST_CASE("a response that its caller does not take ends after the grace") {
  auto options = SmallOptions();
  options.read_pace.grace = seconds(1);
  GatewayFixture fixture(options);
  const std::string body(6U << 20U, 'r');
  fixture.AddBackend("b", [&](const ScriptedBackend::Received& call) {
    call.session->Write(
        PlainAnswer(*call.head.headers.Find("Attempt"), 200, body));
  });
  bool ended = false;
  transport::TcpConnection client(
      &fixture.loop,
      {"127.0.0.1", static_cast<std::uint16_t>(fixture.gateway.ListenPort())},
      {},
      {.on_connected =
           [&] {
             client.Write(RequestText("/safe/x", "a1"));
             client.PauseReading();
           },
       .on_data = [](std::string_view) {},
       .on_end = [&](transport::ConnectionEnd) { ended = true; },
       .on_drained = nullptr});
  REQUIRE(fixture.RunUntil([&] { return fixture.context.slow_readers == 1; }));
  client.ResumeReading();
  CHECK(fixture.RunUntil([&] { return ended; }));
}

}  // namespace
}  // namespace wasabiwall::fakes
