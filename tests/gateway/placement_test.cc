// Tests of placement decisions with a virtual clock and without a network.
#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "fakes/placement_fixture.h"
#include "wasabiwall/coordination/backend_placement.h"

namespace wasabiwall::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using fakes::PlacementFixture;

state::BackendServerId Id(const std::string& id) {
  return state::BackendServerId(id);
}

TEST_CASE(
    "a held off backend server gets nothing and does not raise the bound") {
  PlacementFixture fixture;
  for (const char* id : {"b0", "b1", "b2"}) fixture.Add(id);
  const auto asking = *fixture.registry.Find(state::BackendServerId("b0"));
  const auto& server = asking.server;
  fixture.hold_offs.OnRequest(server, seconds(5), fixture.now);
  for (int i = 0; i < 20; ++i) {
    const auto chosen = fixture.Choose(0);
    REQUIRE(chosen);
    CHECK(chosen->server.id != server.id);
    CHECK(chosen->mean_load == Approx(i / 3.0));
    fixture.loads.OnSent(chosen->server.id);
  }
  CHECK(fixture.placement.HoldOffLeft(fixture.service, fixture.now) ==
        seconds(5));
}

TEST_CASE("an assumed load of other gateways does not fill a backend server") {
  PlacementFixture fixture;
  fixture.processes = 1000;
  for (const char* id : {"b0", "b1", "b2"}) fixture.Add(id);
  for (int i = 0; i < 30; ++i) {
    fixture.now += milliseconds(100);
    const auto chosen = fixture.Choose(0);
    REQUIRE(chosen);
    fixture.loads.OnSent(chosen->server.id);
  }
  CHECK(fixture.Choose(0)->mean_load > fixture.service.engine->batch_size);
}

TEST_CASE("an evacuated failure domain does not raise the load bound") {
  PlacementFixture fixture;
  constexpr int servers = 18;
  for (int i = 0; i < servers; ++i) fixture.Add("b" + std::to_string(i));
  fixture.registry.SetEvacuated(state::FailureDomainId("z1"), true,
                                fixture.now);
  constexpr int in_flight = 180;
  constexpr int arrivals = 2000;
  constexpr std::uint64_t hot_part = 7;
  std::mt19937_64 engine(3);
  std::vector<std::string> running;
  int above_bound = 0;
  for (int i = 0; i < in_flight + arrivals; ++i) {
    if (i >= in_flight) {
      std::swap(running[engine() % running.size()], running.back());
      fixture.loads.OnFinished(state::BackendServerId(running.back()));
      running.pop_back();
    }
    running.push_back(
        fixture.Start(engine() % 4 == 0 ? hot_part : engine() % 1000 + 10));
    REQUIRE_FALSE(running.back().empty());
    const double load = fixture.loads.Estimate(
        state::BackendServerId(running.back()), fixture.now);
    const double mean = static_cast<double>(running.size()) / servers;
    if (i >= in_flight && load > 2 * mean + 3) ++above_bound;
  }
  CHECK(above_bound * 100 <= arrivals * 3);
}

TEST_CASE("a call is refused as held off if all backend servers are") {
  PlacementFixture fixture;
  for (const char* id : {"b0", "b1"}) fixture.Add(id);
  for (const auto* known : fixture.registry.Of(fixture.service.id)) {
    fixture.hold_offs.OnRequest(known->server, seconds(5), fixture.now);
  }
  CHECK(fixture.Choose(0).error() == PlacementRefusal::kHeldOff);
  fixture.now += seconds(6);
  CHECK(fixture.Choose(0));
}

TEST_CASE("calls with the same prompt are placed at the same backend server") {
  PlacementFixture fixture;
  for (int i = 0; i < 10; ++i) fixture.Add("b" + std::to_string(i));
  const std::string first = fixture.Start(42);
  for (int i = 0; i < 5; ++i) {
    CHECK(fixture.Choose(42)->server.id == Id(first));
  }
  CHECK_FALSE(fixture.Choose(42)->fetch_from);
}

TEST_CASE(
    "a prompt without a known holder is fetched from the next backend server "
    "in rendezvous order") {
  PlacementFixture fixture;
  for (int i = 0; i < 10; ++i) fixture.Add("b" + std::to_string(i));
  const auto home = fixture.Choose(42);
  REQUIRE(home);
  REQUIRE(home->fetch_from);
  // The prompt is fetched from where calls go while the home is out.
  auto draining = home->server;
  draining.draining = true;
  fixture.registry.Put(draining, fixture.now, true);
  CHECK(fixture.Choose(42)->server.id == home->fetch_from->id);
}

TEST_CASE(
    "calls with a hot prompt overflow to others before the load bound is "
    "exceeded") {
  PlacementFixture fixture;
  for (int i = 0; i < 10; ++i) fixture.Add("b" + std::to_string(i));
  std::map<std::string, int> counts;
  // Base load: two calls on each backend server.
  for (int i = 0; i < 10; ++i) {
    fixture.loads.OnSent(Id("b" + std::to_string(i)));
    fixture.loads.OnSent(Id("b" + std::to_string(i)));
    counts["b" + std::to_string(i)] = 2;
  }
  for (int i = 0; i < 40; ++i) ++counts[fixture.Start(42)];
  int total = 0;
  int most = 0;
  for (const auto& [id, count] : counts) {
    total += count;
    most = std::max(most, count);
  }
  CHECK(total == 60);
  // The bound: twice the mean plus three.
  CHECK(most <= 2.0 * total / 10 + 3);
}

TEST_CASE("an overflowing call fetches the prompt from its holder") {
  PlacementFixture fixture;
  for (int i = 0; i < 5; ++i) fixture.Add("b" + std::to_string(i));
  const std::string home = fixture.Start(42);
  for (int i = 0; i < 20; ++i) fixture.loads.OnSent(Id(home));
  const auto spilled = fixture.Choose(42);
  REQUIRE(spilled);
  CHECK(spilled->server.id.value != home);
  REQUIRE(spilled->fetch_from);
  CHECK(spilled->fetch_from->id.value == home);
}

TEST_CASE(
    "a new backend server fetches the prompt from the one next in rendezvous "
    "order") {
  PlacementFixture fixture;
  for (int i = 0; i < 4; ++i) fixture.Add("b" + std::to_string(i));
  fixture.now += seconds(30);
  fixture.Add("new", true);
  fixture.now += seconds(4);
  int seen = 0;
  for (std::uint64_t part = 1; part <= 200; ++part) {
    const auto chosen = fixture.Choose(part);
    if (chosen->server.id != Id("new")) continue;
    ++seen;
    CHECK(chosen->fetch_from);
  }
  CHECK(seen > 10);
}

TEST_CASE("draining and evacuated backend servers get no new calls") {
  PlacementFixture fixture;
  fixture.Add("a");
  fixture.Add("b");
  auto draining = fixture.registry.Find(Id("a"))->server;
  draining.draining = true;
  fixture.registry.Put(draining, fixture.now, true);
  for (std::uint64_t part = 1; part < 30; ++part) {
    CHECK(fixture.Choose(part)->server.id == Id("b"));
  }
  const auto domain = fixture.registry.Find(Id("b"))->server.failure_domain;
  fixture.registry.SetEvacuated(domain, true, fixture.now);
  CHECK(fixture.Choose(1).error() == PlacementRefusal::kNoneEligible);
  fixture.registry.SetEvacuated(domain, false, fixture.now);
  CHECK(fixture.Choose(1));
  // It may have become cold during the evacuation.
  CHECK(fixture.registry.ColdUntil(*fixture.registry.Find(Id("b"))) >
        fixture.now);
}

TEST_CASE(
    "all processes together stay within the rate limit of a cold backend "
    "server") {
  PlacementFixture fixture;
  fixture.processes = 4;
  fixture.Add("cold", true);
  int sent = 0;
  for (int ms = 0; ms < 1000; ms += 5) {
    fixture.now += milliseconds(5);
    if (!fixture.Start(0).empty()) ++sent;
  }
  CHECK(sent * fixture.processes <= 20);
  CHECK(sent >= 3);
  CHECK(fixture.Choose(0).error() == PlacementRefusal::kCold);
  fixture.now += seconds(3);
  CHECK(fixture.Choose(0));
}

TEST_CASE(
    "the rate limit of a cold backend server holds with less than one call a "
    "second per process") {
  // 32 gateways; the limit allows half more and five calls.
  constexpr int processes = 32;
  constexpr double calls_per_second = 13;
  constexpr double allowed = calls_per_second * 1.5 + 5;
  const TimePoint cold_since{seconds(100)};
  std::vector<ColdStartLimiter> limiters;
  for (std::uint64_t i = 0; i < processes; ++i) limiters.emplace_back(i);
  const double rate =
      ColdStartLimiter::PerProcessRate(calls_per_second, processes);
  std::vector<TimePoint> sent;
  for (int ms = 0; ms < 6000; ms += 5) {
    const TimePoint now = cold_since + milliseconds(ms);
    for (ColdStartLimiter& limiter : limiters) {
      if (!limiter.Allows(Id("b"), rate, cold_since, now)) continue;
      limiter.OnSent(Id("b"), now);
      sent.push_back(now);
    }
  }
  for (const TimePoint begin : sent) {
    const auto in_second =
        std::count_if(sent.begin(), sent.end(), [begin](TimePoint time) {
          return time >= begin && time - begin < seconds(1);
        });
    CHECK(in_second <= allowed);
  }
  CHECK(sent.size() >= 3 * calls_per_second);
}

TEST_CASE(
    "a failing backend server is ejected unless most backend servers fail") {
  PlacementFixture fixture;
  for (int i = 0; i < 4; ++i) fixture.Add("b" + std::to_string(i));
  for (int i = 0; i < 3; ++i) {
    fixture.health.OnSignal(Id("b0"), HealthSignal::kFailed, fixture.now);
  }
  for (std::uint64_t part = 1; part < 60; ++part) {
    CHECK(fixture.Choose(part)->server.id != Id("b0"));
  }
  for (int b = 1; b < 4; ++b) {
    for (int i = 0; i < 3; ++i) {
      fixture.health.OnSignal(Id("b" + std::to_string(b)),
                              HealthSignal::kFailed, fixture.now);
    }
  }
  std::map<std::string, int> counts;
  for (std::uint64_t part = 1; part < 60; ++part) {
    ++counts[fixture.Choose(part)->server.id.value];
  }
  CHECK(counts.size() == 4);
}

TEST_CASE(
    "unreachable backend servers get no calls until their ejection expires") {
  PlacementFixture fixture;
  fixture.Add("b");
  fixture.health.OnSignal(Id("b"), HealthSignal::kUnreachable, fixture.now);
  // A single failure may be a lost packet.
  CHECK(fixture.Choose(1));
  fixture.health.OnSignal(Id("b"), HealthSignal::kUnreachable, fixture.now);
  CHECK(fixture.Choose(1).error() == PlacementRefusal::kUnreachable);
  fixture.now += seconds(5);
  CHECK(fixture.Choose(1));
}

TEST_CASE(
    "the reported load of other processes decays and own calls count at once") {
  BackendLoadTable loads;
  const TimePoint start{seconds(1)};
  loads.OnSent(Id("b"));
  loads.OnReport(Id("b"), {9, 2}, start);
  CHECK(loads.Estimate(Id("b"), start) == Approx(11));
  loads.OnSent(Id("b"));
  CHECK(loads.Estimate(Id("b"), start) == Approx(12));
  CHECK(loads.Estimate(Id("b"), start + seconds(2)) == Approx(7));
  loads.OnFinished(Id("b"));
  loads.OnFinished(Id("b"));
  loads.OnFinished(Id("b"));
  CHECK(loads.OwnInFlight(Id("b")) == 0);
}

TEST_CASE("the prompt cache index evicts the part read longest ago") {
  PromptCacheIndex index(2);
  const TimePoint now{seconds(1)};
  index.OnRead(1, Id("a"), now);
  index.OnRead(2, Id("b"), now);
  index.OnRead(1, Id("c"), now);
  index.OnRead(3, Id("d"), now);
  CHECK(index.Holders(2, now).empty());
  const auto holders = index.Holders(1, now);
  REQUIRE(holders.size() == 2);
  CHECK(holders.front() == Id("c"));
  CHECK(index.Holders(1, now + std::chrono::minutes(10)).empty());
}

/// Ten engines whose streams send an event every 40 ms, or a multiple of that,
/// simulated in steps of 10 ms with 200 calls a second for 40 prompts.
class StreamLoad {
 public:
  explicit StreamLoad(std::map<std::string, double> slowdown)
      : m_slowdown(std::move(slowdown)) {
    for (int i = 0; i < 10; ++i) fixture.Add("b" + std::to_string(i));
  }

  /// @return Number of calls placed at each engine.
  std::map<std::string, int> Run(milliseconds time) {
    constexpr milliseconds step{10};
    std::map<std::string, int> placed;
    for (milliseconds at{0}; at < time; at += step) {
      fixture.now += step;
      std::erase_if(m_streams, [this](Stream& s) { return Advance(&s); });
      for (int i = 0; i < 2; ++i) {
        const std::string id = fixture.Start(m_random() % 40);
        if (id.empty()) continue;
        ++placed[id];
        m_streams.push_back({id, fixture.now, 10});
      }
    }
    return placed;
  }

  void SetSlowdown(std::map<std::string, double> slowdown) {
    m_slowdown = std::move(slowdown);
  }

  PlacementFixture fixture;

 private:
  struct Stream {
    std::string engine;
    TimePoint last;
    int events;
  };

  /// @return Whether the stream has ended.
  bool Advance(Stream* stream) {
    const auto found = m_slowdown.find(stream->engine);
    const double factor = found == m_slowdown.end() ? 1 : found->second;
    const std::chrono::duration<double> pause(0.040 * factor);
    const auto since = fixture.now - stream->last;
    if (since < pause) return false;
    fixture.event_intervals.OnEvent(Id(stream->engine), since, fixture.now);
    stream->last = fixture.now;
    if (--stream->events > 0) return false;
    fixture.loads.OnFinished(Id(stream->engine));
    return true;
  }

  std::map<std::string, double> m_slowdown;
  std::vector<Stream> m_streams;
  std::mt19937_64 m_random{11};
};

int Sum(const std::map<std::string, int>& counts) {
  int sum = 0;
  for (const auto& [id, count] : counts) sum += count;
  return sum;
}

TEST_CASE(
    "engines that are slow compared with the others get hardly any calls") {
  StreamLoad load({{"b2", 4}, {"b5", 4}, {"b8", 4}});
  load.Run(seconds(2));
  auto counts = load.Run(seconds(4));
  CHECK(counts["b2"] + counts["b5"] + counts["b8"] < Sum(counts) / 20);
}

TEST_CASE("an engine gets calls again after it has recovered its speed") {
  StreamLoad load({{"b2", 4}});
  load.Run(seconds(4));
  load.SetSlowdown({});
  load.Run(seconds(4));
  auto counts = load.Run(seconds(4));
  CHECK(counts["b2"] > Sum(counts) / 40);
}

TEST_CASE("engines with fuller batches do not count as slow") {
  std::map<std::string, double> slowdown;
  for (int i = 0; i < 10; ++i) slowdown["b" + std::to_string(i)] = 1 + i * 0.08;
  StreamLoad load(slowdown);
  load.Run(seconds(2));
  std::vector<state::BackendServerId> ids;
  ids.reserve(slowdown.size());
  for (const auto& [id, factor] : slowdown) ids.push_back(Id(id));
  const auto slow_threshold =
      load.fixture.event_intervals.SlowThreshold(ids, load.fixture.now);
  REQUIRE(slow_threshold);
  for (const auto& id : ids) {
    const auto mean =
        load.fixture.event_intervals.MeanInterval(id, load.fixture.now);
    if (mean) CHECK(*mean < *slow_threshold);
  }
}

TEST_CASE(
    "slow engines are not detected among two engines or from a few events") {
  EventIntervalTable event_intervals;
  const TimePoint now{seconds(100)};
  for (int i = 0; i < 100; ++i) {
    event_intervals.OnEvent(Id("a"), milliseconds(40), now);
    event_intervals.OnEvent(Id("b"), milliseconds(400), now);
  }
  CHECK_FALSE(event_intervals.SlowThreshold({Id("a"), Id("b")}, now));
  event_intervals.OnEvent(Id("c"), milliseconds(400), now);
  CHECK_FALSE(event_intervals.MeanInterval(Id("c"), now));
  CHECK_FALSE(event_intervals.MeanInterval(Id("a"), now + seconds(5)));
}

TEST_CASE(
    "a backend server that never answers gets a probe every few seconds") {
  BackendHealth health;
  TimePoint now{seconds(100)};
  struct Call {
    TimePoint sent;
    bool timed_out = false;
  };
  std::vector<Call> calls;
  // Ten calls a second would be sent there; none is answered.
  for (int i = 0; i < 200; ++i, now += milliseconds(100)) {
    for (Call& call : calls) {
      if (call.timed_out || now - call.sent < milliseconds(900)) continue;
      call.timed_out = true;
      health.OnResponseTimeout(Id("b"), call.sent, now);
    }
    if (health.IsEjected(Id("b"), now)) continue;
    health.OnSent(Id("b"), now);
    calls.push_back({now});
  }
  // Those sent before the first timeout, and one probe every few seconds after
  // it.
  CHECK(calls.size() <= 9 + 20 / 2);
  CHECK(calls.size() >= 9 + 3);
}

TEST_CASE(
    "an answered probe ends the ejection and answers to other calls prevent "
    "it") {
  BackendHealth health;
  TimePoint now{seconds(100)};
  CHECK(health.OnResponseTimeout(Id("b"), now - seconds(1), now));
  CHECK(health.IsEjected(Id("b"), now));
  now += milliseconds(600);
  CHECK_FALSE(health.IsEjected(Id("b"), now));
  health.OnSent(Id("b"), now);
  CHECK(health.IsEjected(Id("b"), now));
  now += milliseconds(50);
  health.OnAnswerBegun(Id("b"), now);
  CHECK_FALSE(health.IsEjected(Id("b"), now));
  // One call times out while others are answered.
  health.OnAnswerBegun(Id("c"), now);
  CHECK_FALSE(health.OnResponseTimeout(Id("c"), now - seconds(1), now));
  CHECK_FALSE(health.IsEjected(Id("c"), now));
}

/// Takes the failure domain of a backend server for lost.
void Lose(PlacementFixture* fixture, const state::FailureDomainId& domain) {
  fixture->failure_domains.OnMessage(
      "other",
      {.kind = protocol::FailureDomainMessage::Kind::kAnnouncement,
       .domain = domain},
      fixture->now);
}

TEST_CASE("a lost failure domain gets no calls while there are others") {
  PlacementFixture fixture;
  for (int i = 0; i < 9; ++i) fixture.Add("b" + std::to_string(i));
  const state::FailureDomainId lost("z1");
  Lose(&fixture, lost);
  for (std::uint64_t part = 0; part < 100; ++part) {
    const auto chosen = fixture.Choose(part);
    REQUIRE(chosen);
    CHECK(chosen->server.failure_domain != lost);
    if (chosen->fetch_from) CHECK(chosen->fetch_from->failure_domain != lost);
  }
  Lose(&fixture, state::FailureDomainId("z2"));
  fixture.failure_domains.OnMessage(
      "other",
      {.kind = protocol::FailureDomainMessage::Kind::kAnnouncement,
       .domain = state::FailureDomainId("z0")},
      fixture.now);
  // The gateway's own domain is left.
  const auto chosen = fixture.Choose(1);
  REQUIRE(chosen);
  CHECK(chosen->server.failure_domain == state::FailureDomainId("z0"));
}

TEST_CASE("a prompt is not copied from an engine of a lost failure domain") {
  PlacementFixture fixture;
  for (int i = 0; i < 9; ++i) fixture.Add("b" + std::to_string(i));
  constexpr std::uint64_t part = 7;
  const state::KnownBackendServer* holder = nullptr;
  for (const auto* known : fixture.registry.Of(fixture.service.id)) {
    if (known->server.failure_domain == state::FailureDomainId("z1")) {
      holder = known;
    }
  }
  REQUIRE(holder != nullptr);
  fixture.prompt_cache.OnRead(part, holder->server.id, fixture.now);
  Lose(&fixture, holder->server.failure_domain);
  const auto chosen = fixture.Choose(part);
  REQUIRE(chosen);
  REQUIRE(chosen->fetch_from);
  CHECK(chosen->fetch_from->failure_domain != holder->server.failure_domain);
}

TEST_CASE("a call that got no reply from a failure domain goes to another") {
  PlacementFixture fixture;
  for (int i = 0; i < 9; ++i) fixture.Add("b" + std::to_string(i));
  for (std::uint64_t part = 1; part < 100; ++part) {
    const auto first = fixture.Choose(part);
    REQUIRE(first);
    const auto second = fixture.placement.Choose(
        {.service = &fixture.service,
         .shared_part = part,
         .shared_tokens = 10000,
         .tried = {first->server.id},
         .silent_domains = {first->server.failure_domain}},
        fixture.now);
    REQUIRE(second);
    CHECK(second->server.failure_domain != first->server.failure_domain);
  }
}

}  // namespace
}  // namespace wasabiwall::coordination
