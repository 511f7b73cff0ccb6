// Backend servers that ask for no calls for a time.
#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "fakes/gateway_fixture.h"
#include "wasabiwall/coordination/hold_off_table.h"

namespace wasabiwall::fakes {
namespace {

using coordination::HoldOffTable;
using coordination::TimePoint;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

state::BackendServer Server(std::int64_t incarnation = 1) {
  state::BackendServer server;
  server.id = state::BackendServerId("b");
  server.address = "10.0.0.1:80";
  server.incarnation = incarnation;
  return server;
}

TEST_CASE("no call is sent before a requested time is over") {
  for (std::uint64_t random = 0; random < 1000; random += 50) {
    HoldOffTable table([random] { return random; });
    const auto left = table.OnRequest(Server(), seconds(2), kStart);
    CHECK(left >= seconds(2));
    CHECK(left <= milliseconds(2500));
    CHECK(table.IsHeldOff(Server(), kStart + milliseconds(1999)));
    CHECK_FALSE(table.IsHeldOff(Server(), kStart + milliseconds(2500)));
    CHECK(table.Count(kStart) == 1);
  }
}

TEST_CASE("of several requested times the one that ends last counts") {
  HoldOffTable table([] { return 0U; });
  table.OnRequest(Server(), seconds(5), kStart);
  table.OnRequest(Server(), seconds(1), kStart + seconds(1));
  CHECK(table.IsHeldOff(Server(), kStart + milliseconds(4999)));
  table.OnRequest(Server(), seconds(9), kStart + seconds(1));
  CHECK(table.IsHeldOff(Server(), kStart + milliseconds(9999)));
}

TEST_CASE("a requested time has a bound and is never negative") {
  HoldOffTable table([] { return 0U; });
  table.OnRequest(Server(), hours(24 * 365), kStart);
  CHECK(table.TimeLeft(Server(), kStart) == hours(1));
  HoldOffTable other([] { return 0U; });
  other.OnRequest(Server(), milliseconds(-5), kStart);
  CHECK_FALSE(other.IsHeldOff(Server(), kStart));
}

TEST_CASE("a new incarnation is not held off") {
  HoldOffTable table([] { return 0U; });
  table.OnRequest(Server(1), seconds(5), kStart);
  CHECK_FALSE(table.IsHeldOff(Server(2), kStart));
  CHECK(table.IsHeldOff(Server(1), kStart));
}

TEST_CASE("after a requested time one call goes first") {
  HoldOffTable table([] { return 0U; });
  table.OnRequest(Server(), seconds(1), kStart);
  const auto end = kStart + seconds(1);
  CHECK_FALSE(table.IsHeldOff(Server(), end));
  table.OnSent(Server(), end);
  CHECK(table.IsHeldOff(Server(), end + milliseconds(1)));
  SECTION("the others follow once it is answered") {
    table.OnAnswer(Server(), end + milliseconds(50));
    CHECK_FALSE(table.IsHeldOff(Server(), end + milliseconds(50)));
  }
  SECTION("or once it has waited long") {
    CHECK_FALSE(table.IsHeldOff(Server(), end + seconds(1)));
  }
}

TEST_CASE("many processes do not return to a backend server at once") {
  constexpr int processes = 20;
  constexpr std::int64_t window_ms = 50;
  std::map<std::int64_t, int> returns;
  for (int i = 0; i < processes; ++i) {
    std::mt19937_64 engine(i);
    HoldOffTable table([&] { return engine(); });
    const auto left = table.OnRequest(Server(), seconds(2), kStart);
    ++returns[left.count() / window_ms];
  }
  for (const auto& [window, count] : returns) CHECK(count <= processes / 3);
}

TEST_CASE("an answer to an earlier call does not end a requested time") {
  HoldOffTable table([] { return 0U; });
  table.OnRequest(Server(), seconds(1), kStart);
  table.OnAnswer(Server(), kStart + milliseconds(100));
  CHECK(table.IsHeldOff(Server(), kStart + milliseconds(100)));
}

/// A script that refuses its first call for a time and then serves.
ScriptedBackend::Script RefuseFirst(int* calls, const std::string& seconds) {
  return [calls, seconds](const ScriptedBackend::Received& call) {
    const std::string& id = *call.head.headers.Find("Attempt");
    call.session->Write(
        ++*calls == 1
            ? PlainAnswer(id, 503, "",
                          "Not-Run: 1\r\nHold-Off: " + seconds + "\r\n")
            : PlainAnswer(id, 200, "served"));
  };
}

TEST_CASE("a backend server that asks for quiet gets no calls meanwhile") {
  GatewayFixture fixture;
  int calls = 0;
  const auto& asking = fixture.AddBackend("b1", RefuseFirst(&calls, "600"));
  fixture.Call("/safe/x", "a0");
  REQUIRE(fixture.RunUntil([&] { return calls == 1; }));
  fixture.AddBackend("b2", [](const ScriptedBackend::Received& call) {
    call.session->Write(
        PlainAnswer(*call.head.headers.Find("Attempt"), 200, "other"));
  });
  for (int i = 1; i < 20; ++i) {
    TestClient& client = fixture.Call("/safe/x", "a" + std::to_string(i));
    REQUIRE(fixture.RunUntil([&] { return client.Status() != 0; }));
    CHECK(client.Has("other"));
  }
  CHECK(asking.Requests().size() == 1);
  fixture.RunFor(milliseconds(800));
  for (int i = 20; i < 40; ++i) {
    TestClient& client = fixture.Call("/safe/x", "a" + std::to_string(i));
    REQUIRE(fixture.RunUntil([&] { return client.Status() == 200; }));
  }
  CHECK(asking.Requests().size() > 1);
}

TEST_CASE(
    "a call that would wait too long for quiet to end is refused at once") {
  GatewayFixture fixture;
  int calls = 0;
  const auto& asking = fixture.AddBackend("b", RefuseFirst(&calls, "3000"));
  const auto start = fixture.loop.Now();
  TestClient& client = fixture.Call("/once/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return client.Status() != 0; }));
  CHECK(client.Status() == 503);
  const std::string header = "Retry-After: ";
  const auto at = client.Received().find(header);
  REQUIRE(at != std::string::npos);
  const double after = std::stod(client.Received().substr(at + header.size()));
  CHECK(after >= 3.0);
  // The delay of the return is at most 0.5 s; refused callers are spread over
  // 0.4 s where nothing has been answered yet.
  CHECK(after <= 3.9);
  CHECK(fixture.loop.Now() - start < milliseconds(100));
  CHECK(asking.Requests().size() == 1);
}

TEST_CASE("a call waits for a quiet time that ends soon") {
  GatewayFixture fixture;
  int calls = 0;
  fixture.AddBackend("b", RefuseFirst(&calls, "60"));
  TestClient& client = fixture.Call("/once/x", "a1");
  REQUIRE(fixture.RunUntil([&] { return client.Status() != 0; }));
  CHECK(client.Status() == 200);
}

}  // namespace
}  // namespace wasabiwall::fakes
