// Placement decisions on virtual time, without a network.
#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "wasabiwall/coordination/backend_placement.h"

namespace wasabiwall::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A service with an engine and everything that placement looks at.
class World {
 public:
  World()
      : registry(milliseconds(2500)),
        cold_starts(1),
        prompt_cache(1000),
        placement(
            {.registry = &registry,
             .loads = &loads,
             .health = &health,
             .paces = &paces,
             .cold_starts = &cold_starts,
             .prompt_cache = &prompt_cache,
             .has_connection = [](const auto&, const auto&) { return true; },
             .processes = [this] { return processes; },
             .random = [this] { return m_engine(); }},
            state::FailureDomainId("z0"), 2.0) {
    service.id = state::ServiceId("s");
    service.engine = state::EngineConfig{64, 100000};
    service.cold_time = seconds(3);
    service.cold_calls_per_second = 20;
  }

  void Add(const std::string& id, bool appeared = false) {
    state::BackendServer server;
    server.id = state::BackendServerId(id);
    server.service = service.id;
    server.address = "10.0.0.1:" + std::to_string(++m_port);
    server.failure_domain =
        state::FailureDomainId("z" + std::to_string(m_port % 3));
    server.capacity = 64;
    registry.Put(server, now, service.cold_time, appeared);
  }

  tl::expected<Placement, PlacementRefusal> Choose(std::uint64_t part) {
    return placement.Choose(
        {.service = &service, .shared_part = part, .shared_tokens = 10000},
        now);
  }

  /// Places a call and starts it.
  std::string Start(std::uint64_t part) {
    const auto chosen = Choose(part);
    if (!chosen) return "";
    loads.OnSent(chosen->server.id);
    cold_starts.OnSent(chosen->server.id, now);
    prompt_cache.OnRead(part, chosen->server.id, now);
    return chosen->server.id.value;
  }

  TimePoint now{seconds(100)};
  int processes = 4;
  state::Service service;
  state::BackendRegistry registry;
  BackendLoadTable loads;
  BackendHealth health;
  EventIntervalTable paces;
  ColdStartLimiter cold_starts;
  PromptCacheIndex prompt_cache;
  BackendPlacement placement;

 private:
  std::mt19937_64 m_engine{7};
  int m_port = 0;
};

state::BackendServerId Id(const std::string& id) {
  return state::BackendServerId(id);
}

TEST_CASE("calls with the same prompt return to the same backend server") {
  World world;
  for (int i = 0; i < 10; ++i) world.Add("b" + std::to_string(i));
  const std::string first = world.Start(42);
  for (int i = 0; i < 5; ++i) {
    CHECK(world.Choose(42)->server.id == Id(first));
  }
  CHECK_FALSE(world.Choose(42)->fetch_from);
}

TEST_CASE("a prompt unknown here is looked for at the next preferred one") {
  World world;
  for (int i = 0; i < 10; ++i) world.Add("b" + std::to_string(i));
  const auto home = world.Choose(42);
  REQUIRE(home);
  REQUIRE(home->fetch_from);
  // Where calls go while the home is out is where the prompt is looked for.
  auto draining = home->server;
  draining.draining = true;
  world.registry.Put(draining, world.now, seconds(3), true);
  CHECK(world.Choose(42)->server.id == home->fetch_from->id);
}

TEST_CASE("a hot prompt spills before its backend server exceeds the bound") {
  World world;
  for (int i = 0; i < 10; ++i) world.Add("b" + std::to_string(i));
  std::map<std::string, int> counts;
  // Ordinary load: two calls on each backend server.
  for (int i = 0; i < 10; ++i) {
    world.loads.OnSent(Id("b" + std::to_string(i)));
    world.loads.OnSent(Id("b" + std::to_string(i)));
    counts["b" + std::to_string(i)] = 2;
  }
  for (int i = 0; i < 40; ++i) ++counts[world.Start(42)];
  int total = 0;
  int most = 0;
  for (const auto& [id, count] : counts) {
    total += count;
    most = std::max(most, count);
  }
  CHECK(total == 60);
  // The stated bound: twice the mean and three.
  CHECK(most <= 2.0 * total / 10 + 3);
}

TEST_CASE("a spilled call copies the prompt from where it is kept") {
  World world;
  for (int i = 0; i < 5; ++i) world.Add("b" + std::to_string(i));
  const std::string home = world.Start(42);
  for (int i = 0; i < 20; ++i) world.loads.OnSent(Id(home));
  const auto spilled = world.Choose(42);
  REQUIRE(spilled);
  CHECK(spilled->server.id.value != home);
  REQUIRE(spilled->fetch_from);
  CHECK(spilled->fetch_from->id.value == home);
}

TEST_CASE("a newcomer copies the prompt from the one preferred before it") {
  World world;
  for (int i = 0; i < 4; ++i) world.Add("b" + std::to_string(i));
  world.now += seconds(30);
  world.Add("new", true);
  world.now += seconds(4);
  int seen = 0;
  for (std::uint64_t part = 1; part <= 200; ++part) {
    const auto chosen = world.Choose(part);
    if (chosen->server.id != Id("new")) continue;
    ++seen;
    CHECK(chosen->fetch_from);
  }
  CHECK(seen > 10);
}

TEST_CASE("draining and evacuated backend servers get no new work") {
  World world;
  world.Add("a");
  world.Add("b");
  auto draining = world.registry.Find(Id("a"))->server;
  draining.draining = true;
  world.registry.Put(draining, world.now, seconds(3), true);
  for (std::uint64_t part = 1; part < 30; ++part) {
    CHECK(world.Choose(part)->server.id == Id("b"));
  }
  const auto domain = world.registry.Find(Id("b"))->server.failure_domain;
  world.registry.SetEvacuated(domain, true, world.now);
  CHECK(world.Choose(1).error() == PlacementRefusal::kNone);
  world.registry.SetEvacuated(domain, false, world.now);
  CHECK(world.Choose(1));
  // It may have turned cold meanwhile.
  CHECK(world.registry.Find(Id("b"))->cold_until > world.now);
}

TEST_CASE("all processes together send a cold backend server what it bears") {
  World world;
  world.processes = 4;
  world.Add("cold", true);
  int sent = 0;
  for (int ms = 0; ms < 1000; ms += 5) {
    world.now += milliseconds(5);
    if (!world.Start(0).empty()) ++sent;
  }
  CHECK(sent * world.processes <= 20);
  CHECK(sent >= 3);
  CHECK(world.Choose(0).error() == PlacementRefusal::kCold);
  world.now += seconds(3);
  CHECK(world.Choose(0));
}

TEST_CASE("many processes together stay within what a cold one bears") {
  // A deployment of 32 gateways; the rules allow half more and five calls.
  constexpr int processes = 32;
  constexpr double calls_per_second = 13;
  constexpr double allowed = calls_per_second * 1.5 + 5;
  const TimePoint cold_since{seconds(100)};
  std::vector<ColdStartLimiter> limiters;
  for (std::uint64_t i = 0; i < processes; ++i) limiters.emplace_back(i);
  const double share = ColdStartLimiter::ShareOf(calls_per_second, processes);
  std::vector<TimePoint> sent;
  for (int ms = 0; ms < 6000; ms += 5) {
    const TimePoint now = cold_since + milliseconds(ms);
    for (ColdStartLimiter& limiter : limiters) {
      if (!limiter.HasRoom(Id("b"), share, cold_since, now)) continue;
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

TEST_CASE("a failing backend server is spared while most others are sound") {
  World world;
  for (int i = 0; i < 4; ++i) world.Add("b" + std::to_string(i));
  for (int i = 0; i < 3; ++i) {
    world.health.OnSignal(Id("b0"), HealthSignal::kFailed, world.now);
  }
  for (std::uint64_t part = 1; part < 60; ++part) {
    CHECK(world.Choose(part)->server.id != Id("b0"));
  }
  for (int b = 1; b < 4; ++b) {
    for (int i = 0; i < 3; ++i) {
      world.health.OnSignal(Id("b" + std::to_string(b)), HealthSignal::kFailed,
                            world.now);
    }
  }
  std::map<std::string, int> counts;
  for (std::uint64_t part = 1; part < 60; ++part) {
    ++counts[world.Choose(part)->server.id.value];
  }
  CHECK(counts.size() == 4);
}

TEST_CASE("unreachable backend servers are left alone and tried again later") {
  World world;
  world.Add("b");
  world.health.OnSignal(Id("b"), HealthSignal::kUnreachable, world.now);
  // One failure may be a lost packet.
  CHECK(world.Choose(1));
  world.health.OnSignal(Id("b"), HealthSignal::kUnreachable, world.now);
  CHECK(world.Choose(1).error() == PlacementRefusal::kUnreachable);
  world.now += seconds(5);
  CHECK(world.Choose(1));
}

TEST_CASE("reported loads of others fade and own calls count at once") {
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

TEST_CASE("the prompt cache index forgets what was used longest ago") {
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

/// Ten engines whose streams give an event each 40 ms, or a multiple of that,
/// played in steps of 10 ms with 200 calls a second of 40 prompts.
class PacedLoad {
 public:
  explicit PacedLoad(std::map<std::string, double> slowness)
      : m_slowness(std::move(slowness)) {
    for (int i = 0; i < 10; ++i) world.Add("b" + std::to_string(i));
  }

  /// @return Calls placed at each engine in the time.
  std::map<std::string, int> Play(milliseconds time) {
    constexpr milliseconds step{10};
    std::map<std::string, int> placed;
    for (milliseconds at{0}; at < time; at += step) {
      world.now += step;
      std::erase_if(m_streams, [this](Stream& s) { return Advance(&s); });
      for (int i = 0; i < 2; ++i) {
        const std::string id = world.Start(m_random() % 40);
        if (id.empty()) continue;
        ++placed[id];
        m_streams.push_back({id, world.now, 10});
      }
    }
    return placed;
  }

  void SetSlowness(std::map<std::string, double> slowness) {
    m_slowness = std::move(slowness);
  }

  World world;

 private:
  struct Stream {
    std::string engine;
    TimePoint last;
    int events;
  };

  /// @return Whether the stream is over.
  bool Advance(Stream* stream) {
    const auto found = m_slowness.find(stream->engine);
    const double factor = found == m_slowness.end() ? 1 : found->second;
    const std::chrono::duration<double> pause(0.040 * factor);
    const auto since = world.now - stream->last;
    if (since < pause) return false;
    world.paces.OnEvent(Id(stream->engine), since, world.now);
    stream->last = world.now;
    if (--stream->events > 0) return false;
    world.loads.OnFinished(Id(stream->engine));
    return true;
  }

  std::map<std::string, double> m_slowness;
  std::vector<Stream> m_streams;
  std::mt19937_64 m_random{11};
};

int Sum(const std::map<std::string, int>& counts) {
  int sum = 0;
  for (const auto& [id, count] : counts) sum += count;
  return sum;
}

TEST_CASE("engines that are slow beside the others get hardly any calls") {
  PacedLoad load({{"b2", 4}, {"b5", 4}, {"b8", 4}});
  load.Play(seconds(2));
  auto counts = load.Play(seconds(4));
  CHECK(counts["b2"] + counts["b5"] + counts["b8"] < Sum(counts) / 20);
}

TEST_CASE("an engine that is fast again gets its calls back") {
  PacedLoad load({{"b2", 4}});
  load.Play(seconds(4));
  load.SetSlowness({});
  load.Play(seconds(4));
  auto counts = load.Play(seconds(4));
  CHECK(counts["b2"] > Sum(counts) / 40);
}

TEST_CASE("engines with fuller batches are not taken for slow") {
  std::map<std::string, double> slowness;
  for (int i = 0; i < 10; ++i) slowness["b" + std::to_string(i)] = 1 + i * 0.08;
  PacedLoad load(slowness);
  load.Play(seconds(2));
  std::vector<state::BackendServerId> ids;
  ids.reserve(slowness.size());
  for (const auto& [id, factor] : slowness) ids.push_back(Id(id));
  const auto slow_from = load.world.paces.SlowThreshold(ids, load.world.now);
  REQUIRE(slow_from);
  for (const auto& id : ids) {
    const auto pace = load.world.paces.MeanInterval(id, load.world.now);
    if (pace) CHECK(*pace < *slow_from);
  }
}

TEST_CASE("two engines alone are not compared, nor are few events trusted") {
  EventIntervalTable paces;
  const TimePoint now{seconds(100)};
  for (int i = 0; i < 100; ++i) {
    paces.OnEvent(Id("a"), milliseconds(40), now);
    paces.OnEvent(Id("b"), milliseconds(400), now);
  }
  CHECK_FALSE(paces.SlowThreshold({Id("a"), Id("b")}, now));
  paces.OnEvent(Id("c"), milliseconds(400), now);
  CHECK_FALSE(paces.MeanInterval(Id("c"), now));
  CHECK_FALSE(paces.MeanInterval(Id("a"), now + seconds(5)));
}

TEST_CASE("a backend server that answers nothing gets a call now and then") {
  BackendHealth health;
  TimePoint now{seconds(100)};
  struct Call {
    TimePoint sent;
    bool judged = false;
  };
  std::vector<Call> calls;
  // Ten calls a second would go there; none is answered.
  for (int i = 0; i < 200; ++i, now += milliseconds(100)) {
    for (Call& call : calls) {
      if (call.judged || now - call.sent < milliseconds(900)) continue;
      call.judged = true;
      health.OnResponseTimeout(Id("b"), call.sent, now);
    }
    if (health.IsSpared(Id("b"), now)) continue;
    health.OnSent(Id("b"), now);
    calls.push_back({now});
  }
  // Those before the first verdict, and one each few seconds after.
  CHECK(calls.size() <= 9 + 20 / 2);
  CHECK(calls.size() >= 9 + 3);
}

TEST_CASE("the first answer ends the sparing, and others' answers prevent it") {
  BackendHealth health;
  TimePoint now{seconds(100)};
  CHECK(health.OnResponseTimeout(Id("b"), now - seconds(1), now));
  CHECK(health.IsSpared(Id("b"), now));
  now += milliseconds(600);
  CHECK_FALSE(health.IsSpared(Id("b"), now));
  health.OnSent(Id("b"), now);
  CHECK(health.IsSpared(Id("b"), now));
  now += milliseconds(50);
  health.OnAnswerBegun(Id("b"), now);
  CHECK_FALSE(health.IsSpared(Id("b"), now));
  // One call is slow while others are answered.
  health.OnAnswerBegun(Id("c"), now);
  CHECK_FALSE(health.OnResponseTimeout(Id("c"), now - seconds(1), now));
  CHECK_FALSE(health.IsSpared(Id("c"), now));
}

}  // namespace
}  // namespace wasabiwall::coordination
