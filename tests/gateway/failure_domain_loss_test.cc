// Gateways, their connections and their messages while a failure domain is
// lost.
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "fakes/gateway_fixture.h"
#include "fakes/silent_listener.h"
#include "wasabiwall/state/digest.h"

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;

const state::FailureDomainId kLostDomain("c");

state::BackendServer ServerAt(const std::string& id, const std::string& address,
                              const state::FailureDomainId& domain) {
  state::BackendServer server;
  server.id = state::BackendServerId(id);
  server.service = state::ServiceId("s");
  server.address = address;
  server.failure_domain = domain;
  server.capacity = 10;
  return server;
}

/// @return A prompt part for which `last` is the least preferred of the
/// backend servers.
std::uint64_t PartThatPrefersOthers(const std::string& last,
                                    const std::vector<std::string>& others) {
  for (std::uint64_t part = 1;; ++part) {
    const auto rank = [part](const std::string& id) {
      return state::FastHash(id, part);
    };
    if (std::ranges::all_of(
            others, [&](const auto& id) { return rank(id) < rank(last); })) {
      return part;
    }
  }
}

TEST_CASE("a call tries a failure domain that does not reply only once") {
  GatewayFixture fleet;
  std::vector<protocol::FailureDomainMessage> reports;
  transport::DatagramSocket other(
      &fleet.loop, [&](const std::string&, std::string_view data) {
        if (const auto report = protocol::DecodeFailureDomainMessage(data)) {
          reports.push_back(*report);
        }
      });
  REQUIRE(other.Bind({"127.0.0.1", 0}));
  REQUIRE(fleet.context.peer_socket.Bind({"127.0.0.1", 0}));
  fleet.context.SetGateways({{"test", fleet.context.peer_socket.LocalAddress()},
                             {"other", other.LocalAddress()}});
  const std::vector<std::string> silent = {"c1", "c2", "c3"};
  const SilentListener nobody;
  for (const auto& id : silent) {
    fleet.context.registry.Put(ServerAt(id, nobody.Address(), kLostDomain),
                               fleet.loop.Now(), false);
  }
  ScriptedBackend backend(
      &fleet.loop, [](const ScriptedBackend::Received& call) {
        call.session->Write(StreamHead("a1") + EventChunk(1, "served") +
                            std::string(transport::kLastChunk));
      });
  const state::FailureDomainId good_domain("d");
  fleet.context.registry.Put(ServerAt("good", backend.Address(), good_domain),
                             fleet.loop.Now(), false);
  const auto part = PartThatPrefersOthers("good", silent);
  TestClient& caller =
      fleet.Call("/chat/x", "a1", "Part: " + std::to_string(part) + "\r\n");
  REQUIRE(fleet.RunUntil([&] { return caller.Status() != 0; }));
  CHECK(caller.Status() == 200);
  const auto tried = std::ranges::count_if(silent, [&](const auto& id) {
    return fleet.context.health.FailureShare(state::BackendServerId(id)) > 0;
  });
  CHECK(tried == 1);
  // The other gateway has heard of it.
  REQUIRE(fleet.RunUntil([&] { return !reports.empty(); }));
  CHECK(reports.front().domain == kLostDomain);
  // What is older than the answer says nothing of the domain that gave it.
  fleet.context.failure_domains.OnMessage(
      "other",
      {.kind = protocol::FailureDomainMessage::Kind::kAnnouncement,
       .domain = good_domain,
       .age = std::chrono::seconds(9)},
      fleet.loop.Now());
  CHECK_FALSE(
      fleet.context.failure_domains.IsLost(good_domain, fleet.loop.Now()));
}

/// Gateways of failure domains of their own that reach each other.
class Neighbours {
 public:
  explicit Neighbours(int count) {
    std::map<std::string, std::string> addresses;
    for (int i = 0; i < count; ++i) {
      auto options = GatewayFixture::DefaultOptions();
      options.name = "g" + std::to_string(i);
      options.failure_domain = state::FailureDomainId("z" + std::to_string(i));
      m_gateways.push_back(std::make_unique<GatewayFixture>(options));
      auto& socket = m_gateways.back()->context.peer_socket;
      REQUIRE(socket.Bind({"127.0.0.1", 0}));
      addresses[options.name] = socket.LocalAddress();
    }
    for (auto& gateway : m_gateways) gateway->context.SetGateways(addresses);
  }

  transport::GatewayContext& operator[](std::size_t index) {
    return m_gateways[index]->context;
  }

  /// Runs all gateways for a time.
  void RunFor(milliseconds time) {
    const auto end = m_gateways.front()->loop.Now() + time;
    while (m_gateways.front()->loop.Now() < end) {
      for (auto& gateway : m_gateways) {
        uv_run(gateway->loop.Handle(), UV_RUN_NOWAIT);
      }
    }
  }

  /// Records a connection attempt of a gateway that got no reply.
  void TimeOut(std::size_t gateway, const std::string& id) {
    transport::GatewayContext& context = (*this)[gateway];
    context.failure_domains.OnConnectTimeout(
        ServerAt(id, "127.0.0.1:1", kLostDomain), context.loop->Now());
    // Longer than the pause between two reports.
    RunFor(milliseconds(60));
  }

  bool BelievesLost(std::size_t gateway) {
    transport::GatewayContext& context = (*this)[gateway];
    return context.failure_domains.IsLost(kLostDomain, context.loop->Now());
  }

 private:
  std::vector<std::unique_ptr<GatewayFixture>> m_gateways;
};

TEST_CASE("a gateway learns from others that a failure domain is lost") {
  Neighbours gateways(3);
  gateways.TimeOut(0, "c1");
  gateways.TimeOut(1, "c2");
  REQUIRE_FALSE(gateways.BelievesLost(2));
  gateways.TimeOut(0, "c3");
  CHECK(gateways.BelievesLost(2));
  SECTION("and that it has answered") {
    gateways[0].failure_domains.OnAnswer(kLostDomain, gateways[0].loop->Now());
    gateways.RunFor(milliseconds(60));
    CHECK_FALSE(gateways.BelievesLost(2));
  }
}

}  // namespace
}  // namespace wasabiwall::fakes
