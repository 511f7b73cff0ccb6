// What gateways tell each other of crashes, so that none holds off a prompt
// part for those that another part has made.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "fakes/gateway_fixture.h"
#include "wasabiwall/coordination/rendezvous_homes.h"
#include "wasabiwall/coordination/request_fingerprint.h"
#include "wasabiwall/state/digest.h"

namespace wasabiwall::fakes {
namespace {

using coordination::FingerprintOfPromptPart;
using std::chrono::milliseconds;

/// Part that all requests hold.
constexpr std::uint64_t kTemplate = 1;
/// Crashes that convict a part which was never answered.
constexpr int kEnoughCrashes = 3;
/// Crashes closer together count as one.
constexpr milliseconds kBetweenCrashes{60};
/// More than messages and verdicts take.
constexpr milliseconds kUntilJudged{300};

/// Two gateways, the first of which tells the second what it sees.
class Pair {
 public:
  Pair() {
    for (GatewayFixture* gateway : {&m_first, &m_second}) {
      REQUIRE(gateway->context.peer_socket.Bind({"127.0.0.1", 0}));
    }
    for (GatewayFixture* gateway : {&m_first, &m_second}) {
      // Each goes by the name "test".
      gateway->context.SetGateways(
          {{"other", m_second.context.peer_socket.LocalAddress()},
           {"test", m_first.context.peer_socket.LocalAddress()}});
    }
  }

  /// Adds gateways to the fleet that nobody reaches.
  /// @return All gateways.
  coordination::ProcessAddresses AddUnreachable(int count) {
    coordination::ProcessAddresses names = {
        {"other", m_second.context.peer_socket.LocalAddress()},
        {"test", m_first.context.peer_socket.LocalAddress()}};
    for (int i = 0; i < count; ++i) {
      names["g" + std::to_string(i)] = "127.0.0.1:1";
    }
    m_first.context.SetGateways(names);
    return names;
  }

  coordination::RequestQuarantine& First() {
    return m_first.context.quarantine;
  }
  coordination::RequestQuarantine& Second() {
    return m_second.context.quarantine;
  }
  coordination::TimePoint Now() const { return m_first.loop.Now(); }

  void RunFor(milliseconds time) {
    const auto end = Now() + time;
    m_first.RunUntil([&] {
      uv_run(m_second.loop.Handle(), UV_RUN_NOWAIT);
      return Now() >= end;
    });
  }

  /// Ends a backend server that ran calls for the first gateway.
  void EndAtFirst(const std::vector<std::uint64_t>& parts,
                  bool is_established) {
    End(&m_first, parts, is_established);
  }

  /// The same at both, as long as they are told of the same server.
  void EndAtBoth(const std::vector<std::uint64_t>& first_parts,
                 const std::vector<std::uint64_t>& second_parts) {
    End(&m_first, first_parts, false);
    --m_server;
    End(&m_second, second_parts, false);
  }

 private:
  void End(GatewayFixture* gateway, const std::vector<std::uint64_t>& parts,
           bool is_established) {
    const state::BackendServer server{
        .id = state::BackendServerId("b" + std::to_string(m_server++)),
        .address = "127.0.0.1:1"};
    std::vector<std::string> fingerprints;
    fingerprints.reserve(parts.size());
    for (const std::uint64_t part : parts) {
      fingerprints.push_back(FingerprintOfPromptPart(part));
    }
    gateway->context.crash_monitor.OnConnectionBroken(
        server, fingerprints, is_established, gateway->loop.Now());
  }

  GatewayFixture m_first;
  GatewayFixture m_second;
  int m_server = 0;
};

const std::string& TemplateName() {
  static const std::string name = FingerprintOfPromptPart(kTemplate);
  return name;
}

/// @return A part of whose crashes the gateway "other" gets no records, in a
/// fleet of the names.
std::uint64_t PartWithoutRecords(const coordination::ProcessAddresses& names) {
  constexpr std::size_t homes = 32;
  for (std::uint64_t part = 1000;; ++part) {
    const auto told = coordination::RendezvousHomes(
        names, state::FastHash(FingerprintOfPromptPart(part)), homes);
    if (std::ranges::find(told, "other") == told.end()) return part;
  }
}

/// @return A part that the gateway "other" judges.
std::uint64_t PartThatOtherJudges(const coordination::ProcessAddresses& names) {
  constexpr std::size_t judges = 8;
  for (std::uint64_t part = 1;; ++part) {
    const auto told = coordination::RendezvousHomes(
        names, state::FastHash(FingerprintOfPromptPart(part)), judges);
    if (std::ranges::find(told, "other") != told.end()) return part;
  }
}

// In a large fleet the judges of the template get no records of the cause, and
// counted the crashes under calls on their way against the template.
TEST_CASE(
    "gateways tell each other which crashes a quarantined part has made") {
  Pair pair;
  const auto names = pair.AddUnreachable(200);
  const std::uint64_t cause = PartWithoutRecords(names);
  const std::uint64_t shared = PartThatOtherJudges(names);
  pair.First().OnAnnounced(FingerprintOfPromptPart(cause), 0, pair.Now());
  const std::string name = FingerprintOfPromptPart(shared);
  for (int i = 0; i < kEnoughCrashes; ++i) {
    pair.EndAtBoth({cause, shared}, {shared});
    pair.RunFor(kBetweenCrashes);
  }
  pair.RunFor(kUntilJudged);
  CHECK(pair.Second().CrashCount(name, pair.Now()) == 0);
  CHECK_FALSE(pair.Second().TimeLeft(name, pair.Now()));
}

// A call whose answer was established was not the cause, wherever it ran.
TEST_CASE(
    "gateways tell each other which answers were established at a crash") {
  const bool is_established = GENERATE(false, true);
  CAPTURE(is_established);
  Pair pair;
  for (int i = 0; i < kEnoughCrashes; ++i) {
    pair.EndAtFirst({kTemplate}, is_established);
    pair.RunFor(kBetweenCrashes);
  }
  pair.RunFor(kUntilJudged);
  CHECK(pair.First().TimeLeft(TemplateName(), pair.Now()).has_value() ==
        !is_established);
  CHECK(pair.Second().TimeLeft(TemplateName(), pair.Now()).has_value() ==
        !is_established);
}

// An established answer at one gateway speaks for its parts at all judges.
TEST_CASE("gateways tell each other of established answers") {
  const bool is_established = GENERATE(false, true);
  CAPTURE(is_established);
  Pair pair;
  for (int i = 0; i < kEnoughCrashes; ++i) {
    if (is_established && i + 1 == kEnoughCrashes) {
      pair.First().OnPartEstablished(kTemplate, pair.Now());
      pair.RunFor(kBetweenCrashes);
    }
    pair.EndAtBoth({kTemplate}, {kTemplate});
    pair.RunFor(kBetweenCrashes);
  }
  pair.RunFor(kUntilJudged);
  CHECK(pair.Second().TimeLeft(TemplateName(), pair.Now()).has_value() ==
        !is_established);
}

// The part of all streams was convicted when servers crashed under them.
TEST_CASE("established streams whose servers end convict no part") {
  constexpr int servers = 5;
  constexpr int calls = 24;
  GatewayFixture fleet;
  std::map<std::string, ScriptedBackend*> backends;
  std::vector<ScriptedBackend::Received> open;
  for (int i = 0; i < servers; ++i) {
    const std::string id = "b" + std::to_string(i);
    backends[id] =
        &fleet.AddBackend(id, [&](const ScriptedBackend::Received& call) {
          open.push_back(call);
          call.session->Write(StreamHead(*call.head.headers.Find("Attempt")) +
                              EventChunk(1, "begun"));
        });
  }
  for (int i = 0; i < calls; ++i) {
    const std::string own = std::to_string(i);
    fleet.Call("/talk/x" + own, "s" + own,
               "Part: " + std::to_string(kTemplate) + " " +
                   std::to_string(100 + i) + "\r\n");
  }
  REQUIRE(fleet.RunUntil(
      [&] { return open.size() == static_cast<std::size_t>(calls); }));
  constexpr int events = 7;
  for (int event = 2; event <= events; ++event) {
    fleet.RunFor(milliseconds(110));
    for (const auto& call : open) {
      call.session->Write(EventChunk(event, "more"));
    }
  }
  for (int i = 0; i + 1 < servers; ++i) {
    backends["b" + std::to_string(i)]->Crash();
    fleet.RunFor(kBetweenCrashes);
  }
  fleet.RunFor(kUntilJudged);
  CHECK_FALSE(
      fleet.context.quarantine.TimeLeft(TemplateName(), fleet.loop.Now()));
  CHECK(fleet.context.quarantine.CrashCount(TemplateName(), fleet.loop.Now()) >=
        3);
}

}  // namespace
}  // namespace wasabiwall::fakes
