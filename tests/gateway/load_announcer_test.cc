// Announcements of loaded backend servers between gateways.
#include "wasabiwall/coordination/load_announcer.h"

#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "fakes/gateway_fixture.h"

namespace wasabiwall::coordination {
namespace {

using protocol::LoadMessage;
using std::chrono::milliseconds;
using std::chrono::seconds;

const state::BackendServerId kServer("b1");
constexpr double kBound = 10;

/// One gateway with a list of what it announces.
class AnnouncerFixture {
 public:
  AnnouncerFixture()
      : announcer(&loads, {.announce =
                               [this](const LoadMessage& message) {
                                 announced.push_back(message);
                               },
                           .is_known =
                               [](const state::BackendServerId& id) {
                                 return id.value.starts_with("b");
                               },
                           .random = [this] { return delay_ms; }}) {}

  void Report(int running, const state::BackendServerId& id = kServer) {
    loads.OnReport(id, {running, 0}, now);
    announcer.OnReport(id, {running, 0}, kBound, now);
  }

  void Receive(int calls, milliseconds age = milliseconds(0),
               const state::BackendServerId& id = kServer) {
    announcer.OnMessage({{{id, calls, age}}}, now);
  }

  void RunFor(milliseconds time) {
    const auto end = now + time;
    for (; now < end; now += milliseconds(1)) announcer.SendDue(now);
  }

  TimePoint now{seconds(100)};
  std::uint64_t delay_ms = 10;
  std::vector<LoadMessage> announced;
  BackendLoadTable loads;
  LoadAnnouncer announcer;
};

TEST_CASE("a backend server at its bound is announced after a short time") {
  AnnouncerFixture gateway;
  gateway.Report(9);
  CHECK_FALSE(gateway.announcer.NextDue());
  gateway.Report(12);
  REQUIRE(gateway.announcer.NextDue());
  CHECK(*gateway.announcer.NextDue() == gateway.now + milliseconds(10));
  gateway.RunFor(milliseconds(10));
  CHECK(gateway.announced.empty());
  gateway.RunFor(milliseconds(50));
  REQUIRE(gateway.announced.size() == 1);
  REQUIRE(gateway.announced[0].loads.size() == 1);
  CHECK(gateway.announced[0].loads[0].server == kServer);
  CHECK(gateway.announced[0].loads[0].calls == 12);
  CHECK(gateway.announced[0].loads[0].age == milliseconds(10));
  CHECK_FALSE(gateway.announcer.NextDue());
}

TEST_CASE("what another gateway has announced is not announced again") {
  AnnouncerFixture gateway;
  gateway.Report(12);
  gateway.RunFor(milliseconds(5));
  gateway.Receive(13);
  gateway.RunFor(milliseconds(50));
  gateway.Report(14);
  gateway.RunFor(milliseconds(40));
  CHECK(gateway.announced.empty());
  // After the shortest time between two.
  gateway.RunFor(milliseconds(10));
  gateway.Report(14);
  gateway.RunFor(milliseconds(20));
  CHECK(gateway.announced.size() == 1);
}

TEST_CASE("a backend server below its bound again is not announced") {
  AnnouncerFixture gateway;
  gateway.Report(12);
  gateway.Report(5);
  gateway.RunFor(milliseconds(50));
  CHECK(gateway.announced.empty());
}

TEST_CASE("a load from before a pause of the process is not announced") {
  AnnouncerFixture gateway;
  gateway.Report(12);
  gateway.now += seconds(3);
  gateway.announcer.SendDue(gateway.now);
  CHECK(gateway.announced.empty());
  CHECK_FALSE(gateway.announcer.NextDue());
}

TEST_CASE("an announced load counts, a late one or an unknown server's not") {
  AnnouncerFixture gateway;
  gateway.loads.OnSent(kServer);
  gateway.Receive(30);
  CHECK(gateway.loads.Estimate(kServer, gateway.now) == Approx(30));
  gateway.now += milliseconds(100);
  gateway.Report(8);
  gateway.Receive(40, milliseconds(150));
  CHECK(gateway.loads.Estimate(kServer, gateway.now) == Approx(8));
  gateway.now += seconds(3);
  gateway.Receive(40, seconds(1));
  CHECK(gateway.loads.Estimate(kServer, gateway.now) < 8);
  const state::BackendServerId unknown("x1");
  gateway.Receive(30, milliseconds(0), unknown);
  CHECK(gateway.loads.Estimate(unknown, gateway.now) == 0);
}

TEST_CASE("announcements become rarer with the number of loaded servers") {
  AnnouncerFixture gateway;
  constexpr std::size_t servers = 1000;
  constexpr std::size_t time_s = 10;
  for (std::size_t step = 0; step < time_s * 100; ++step) {
    for (std::size_t i = 0; i < servers; ++i) {
      gateway.Report(12, state::BackendServerId("b" + std::to_string(i)));
    }
    gateway.RunFor(milliseconds(10));
  }
  std::size_t loads = 0;
  for (const LoadMessage& message : gateway.announced) {
    CHECK(message.loads.size() <= protocol::kMaxLoadsInMessage);
    loads += message.loads.size();
  }
  // 520 a second and the first of each.
  CHECK(loads <= 520 * time_s + servers);
  // Each still is announced from time to time.
  CHECK(loads >= 3 * servers);
}

TEST_CASE("a load that has grown much is announced sooner") {
  AnnouncerFixture gateway;
  constexpr int servers = 300;
  for (int i = 0; i < servers; ++i) {
    gateway.Receive(12, milliseconds(0),
                    state::BackendServerId("b" + std::to_string(i)));
  }
  gateway.RunFor(milliseconds(200));
  gateway.Report(14);
  gateway.RunFor(milliseconds(20));
  CHECK(gateway.announced.empty());
  gateway.Report(24);
  gateway.RunFor(milliseconds(20));
  CHECK(gateway.announced.size() == 1);
}

TEST_CASE("gateways that notice the same at once announce it a few times") {
  const int gateways = GENERATE(68, 300, 1000);
  // As many answers as an engine may begin together.
  constexpr int observers = 64;
  constexpr milliseconds network_time{2};
  TimePoint now{seconds(100)};
  std::mt19937_64 random(3);
  BackendLoadTable loads;
  std::vector<std::unique_ptr<LoadAnnouncer>> fleet;
  std::vector<std::pair<TimePoint, LoadMessage>> sent;
  fleet.reserve(static_cast<std::size_t>(gateways));
  for (int i = 0; i < gateways; ++i) {
    fleet.push_back(std::make_unique<LoadAnnouncer>(
        &loads,
        LoadAnnouncer::Hooks{
            .announce =
                [&](const LoadMessage& message) {
                  sent.emplace_back(now + network_time, message);
                },
            .is_known = [](const state::BackendServerId&) { return true; },
            .random = [&] { return random(); }}));
  }
  for (int i = 0; i < observers; ++i) {
    fleet[i]->OnReport(kServer, {20, 0}, kBound, now);
  }
  std::size_t delivered = 0;
  for (int step = 0; step < 50; ++step, now += milliseconds(1)) {
    for (; delivered < sent.size() && sent[delivered].first <= now;
         ++delivered) {
      const LoadMessage message = sent[delivered].second;
      for (auto& gateway : fleet) gateway->OnMessage(message, now);
    }
    for (auto& gateway : fleet) gateway->SendDue(now);
  }
  CHECK(!sent.empty());
  // A quarter of those that noticed.
  CHECK(sent.size() <= observers / 4);
}

TEST_CASE("a backend server that is gone is not announced") {
  AnnouncerFixture gateway;
  gateway.Report(12);
  gateway.announcer.Forget(kServer);
  gateway.RunFor(milliseconds(50));
  CHECK(gateway.announced.empty());
}

TEST_CASE("messages about loads are read back, malformed ones not") {
  const LoadMessage message{
      {{kServer, 17, milliseconds(8)},
       {state::BackendServerId("b2"), 0, milliseconds(0)}}};
  const std::string bytes = protocol::EncodeLoadMessage(message);
  const auto decoded = protocol::DecodeLoadMessage(bytes);
  REQUIRE(decoded);
  REQUIRE(decoded->loads.size() == 2);
  CHECK(decoded->loads[0].server == kServer);
  CHECK(decoded->loads[0].calls == 17);
  CHECK(decoded->loads[0].age == milliseconds(8));
  CHECK(decoded->loads[1].calls == 0);
  CHECK_FALSE(protocol::DecodeLoadMessage(
      protocol::EncodeLoadMessage({{{kServer, -1, milliseconds(0)}}})));
  CHECK_FALSE(protocol::DecodeLoadMessage(
      protocol::EncodeLoadMessage({{{kServer, 1, milliseconds(-1)}}})));
  // Deeply nested arrays, as long as a datagram may be.
  CHECK_FALSE(protocol::DecodeLoadMessage(std::string(2048, '\x81')));
  std::mt19937_64 random(7);
  for (int i = 0; i < 2000; ++i) {
    std::string changed = bytes;
    changed[random() % changed.size()] = static_cast<char>(random());
    changed.resize(random() % (changed.size() + 1));
    // Whatever the bytes are, decoding them ends in order.
    const auto result = protocol::DecodeLoadMessage(changed);
    if (result) CHECK(result->loads.size() <= protocol::kMaxLoadsInMessage);
  }
}

TEST_CASE("a gateway announces what an answer reports, and hears of others") {
  fakes::GatewayFixture fleet;
  std::vector<LoadMessage> received;
  transport::DatagramSocket other(
      &fleet.loop, [&](const std::string&, std::string_view data) {
        if (const auto message = protocol::DecodeLoadMessage(data)) {
          received.push_back(*message);
        }
      });
  REQUIRE(other.Bind({"127.0.0.1", 0}));
  auto& socket = fleet.context.peer_socket;
  REQUIRE(socket.Bind({"127.0.0.1", 0}));
  fleet.context.SetGateways(
      {{"test", socket.LocalAddress()}, {"other", other.LocalAddress()}});
  fakes::ScriptedBackend backend(
      &fleet.loop, [](const fakes::ScriptedBackend::Received& call) {
        call.session->Write(
            fakes::PlainAnswer("a1", 200, "ok", "Running: 40\r\n"));
      });
  state::BackendServer server;
  server.id = kServer;
  server.service = state::ServiceId("s");
  server.address = backend.Address();
  server.capacity = 64;
  fleet.context.registry.Put(server, fleet.loop.Now(), false);
  fakes::TestClient& caller = fleet.Call("/safe/x", "a1");
  REQUIRE(fleet.RunUntil([&] { return caller.Status() == 200; }));
  REQUIRE(fleet.RunUntil([&] { return !received.empty(); }));
  CHECK(received[0].loads.at(0).server == kServer);
  CHECK(received[0].loads.at(0).calls == 40);
  other.Send(socket.LocalAddress(),
             protocol::EncodeLoadMessage({{{kServer, 90, milliseconds(0)}}}));
  const auto load = [&] {
    return fleet.context.loads.Estimate(kServer, fleet.loop.Now());
  };
  CHECK(fleet.RunUntil([&] { return load() > 80; }));
}

}  // namespace
}  // namespace wasabiwall::coordination
