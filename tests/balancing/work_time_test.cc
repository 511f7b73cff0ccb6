// Placement at backend servers whose speed changes many times a second, on
// virtual time, with and without their reports.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fakes/placement_fixture.h"
#include "wasabiwall/balancing/work_time_table.h"

namespace wasabiwall::balancing {
namespace {

using coordination::TimePoint;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const state::ServiceId kService("s");
const state::BackendServerId kServer("b");
constexpr TimePoint kStart{seconds(100)};

TEST_CASE("the work time is averaged, bounded and approaches the usual one") {
  WorkTimeTable table;
  CHECK_FALSE(table.Knows(kService));
  CHECK(table.Factor(kService, kServer, kStart) == 1);
  TimePoint now = kStart;
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(20);
    table.OnReport(kService, kServer, i % 2 == 0 ? 250 : 150, now);
  }
  CHECK(table.Factor(kService, kServer, now) > 1.5);
  CHECK(table.Factor(kService, kServer, now) < 2.5);
  CHECK(table.Factor(kService, kServer, now + seconds(10)) < 1.05);
  table.OnReport(kService, kServer, 1000000, now + seconds(60));
  CHECK(table.Factor(kService, kServer, now + seconds(60)) <= 4);
  table.OnReport(kService, kServer, 1, now + seconds(120));
  CHECK(table.Factor(kService, kServer, now + seconds(120)) >= 0.25);
  table.Forget(kServer);
  CHECK_FALSE(table.Knows(kService));
}

TEST_CASE("a backend server that is fast again counts so within some reports") {
  WorkTimeTable table;
  TimePoint now = kStart;
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(20);
    table.OnReport(kService, kServer, 300, now);
  }
  CHECK(table.Factor(kService, kServer, now) > 2.5);
  for (int i = 0; i < 15; ++i) {
    now += milliseconds(20);
    table.OnReport(kService, kServer, 100, now);
  }
  CHECK(table.Factor(kService, kServer, now) < 1.2);
}

/// Backend servers with a place for several calls each, whose speed changes,
/// and gateways that place calls there.
class SpeedPlay {
 public:
  static constexpr int kSlots = 8;
  static constexpr milliseconds kCallTime{100};

  SpeedPlay(int gateways, int servers, bool reports, std::uint64_t seed)
      : m_reports(reports), m_random(seed), m_servers(Size(servers)) {
    for (int g = 0; g < gateways; ++g) {
      auto gateway = std::make_unique<fakes::PlacementFixture>(m_random());
      gateway->processes = gateways;
      gateway->service.cold_calls_per_second = 0;
      for (int s = 0; s < servers; ++s) gateway->Add(std::to_string(s));
      m_gateways.push_back(std::move(gateway));
    }
  }

  /// @param utilization Arriving work in what all machines do at usual speed.
  void Run(double utilization, seconds time) {
    const double rate = utilization * kSlots *
                        static_cast<double>(m_servers.size()) /
                        std::chrono::duration<double>(kCallTime).count();
    constexpr milliseconds step{1};
    std::poisson_distribution<int> arrivals(
        rate * std::chrono::duration<double>(step).count());
    for (const TimePoint end = m_now + time; m_now < end; m_now += step) {
      ChangeSpeeds();
      while (!m_events.empty() && m_events.begin()->first <= m_now) {
        const auto event = m_events.extract(m_events.begin());
        event.mapped()();
      }
      for (int calls = arrivals(m_random); calls > 0; --calls) Place();
    }
  }

  /// @return Response time that this part of the calls keeps within.
  milliseconds Quantile(double part) {
    std::ranges::sort(m_times);
    const auto index = static_cast<std::size_t>(
        part * static_cast<double>(m_times.size() - 1));
    return std::chrono::duration_cast<milliseconds>(m_times[index]);
  }

  /// @return Part of the calls placed at a backend server above the load bound.
  double PartAboveBound() const {
    return static_cast<double>(m_above) / static_cast<double>(m_calls);
  }

  /// @return Calls of the slow backend servers against those of the others,
  /// each.
  double SlowShare() const {
    return (static_cast<double>(m_slow_calls) / m_slow_time) /
           (static_cast<double>(m_calls - m_slow_calls) / m_fast_time);
  }

 private:
  struct Waiting {
    std::size_t gateway;
    TimePoint placed;
  };
  struct Server {
    bool is_slow = false;
    double factor = 1;
    int running = 0;
    std::deque<Waiting> waiting;

    double Load() const {
      return running + static_cast<double>(waiting.size());
    }
  };

  static std::size_t Size(int count) { return static_cast<std::size_t>(count); }

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }

  /// Some seconds slow or fast, and jitter 20 times a second.
  void ChangeSpeeds() {
    for (Server& server : m_servers) {
      if (Uniform() < 1.0 / 3000) server.is_slow = !server.is_slow;
      if (Uniform() < 1.0 / 50) {
        server.factor = (server.is_slow ? 2.5 : 1.0) * (0.7 + 0.6 * Uniform());
      }
      (server.is_slow ? m_slow_time : m_fast_time) += 1;
    }
  }

  void Place() {
    const std::size_t index = m_random() % m_gateways.size();
    fakes::PlacementFixture& gateway = *m_gateways[index];
    gateway.now = m_now;
    const auto chosen = gateway.Choose(0);
    REQUIRE(chosen);
    const std::size_t s = std::stoul(chosen->server.id.value);
    Server& server = m_servers[s];
    double sum = 0;
    for (const Server& each : m_servers) sum += each.Load();
    ++m_calls;
    m_slow_calls += server.is_slow ? 1 : 0;
    const double mean = sum / static_cast<double>(m_servers.size());
    m_above += server.Load() > 2 * mean + 3 ? 1 : 0;
    gateway.loads.OnSent(chosen->server.id);
    server.waiting.push_back({index, m_now});
    StartWaiting(s);
  }

  void StartWaiting(std::size_t s) {
    Server& server = m_servers[s];
    while (server.running < kSlots && !server.waiting.empty()) {
      const Waiting call = server.waiting.front();
      server.waiting.pop_front();
      ++server.running;
      const auto time = std::chrono::duration_cast<microseconds>(
          kCallTime * server.factor * (0.5 + Uniform()));
      m_events.emplace(m_now + time, [this, s, call] { Finish(s, call); });
    }
  }

  void Finish(std::size_t s, const Waiting& call) {
    Server& server = m_servers[s];
    fakes::PlacementFixture& gateway = *m_gateways[call.gateway];
    const state::BackendServerId id(std::to_string(s));
    gateway.loads.OnReport(
        id, {server.running, static_cast<int>(server.waiting.size())}, m_now);
    gateway.loads.OnFinished(id);
    if (m_reports) {
      gateway.work_times.OnReport(gateway.service.id, id,
                                  static_cast<int>(server.factor * 100), m_now);
    }
    m_times.push_back(m_now - call.placed);
    --server.running;
    StartWaiting(s);
  }

  bool m_reports;
  std::mt19937_64 m_random;
  TimePoint m_now = kStart;
  std::vector<Server> m_servers;
  std::vector<std::unique_ptr<fakes::PlacementFixture>> m_gateways;
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::vector<microseconds> m_times;
  int m_calls = 0;
  int m_above = 0;
  int m_slow_calls = 0;
  double m_slow_time = 1;
  double m_fast_time = 1;
};

TEST_CASE("calls finish earlier if backend servers report their speed") {
  struct Case {
    int gateways;
    int servers;
    /// Most of the times without reports.
    double median;
    double tail;
  };
  // With 300 gateways each one seldom hears of a backend server.
  const auto [gateways, servers, median, tail] =
      GENERATE(Case{1, 12, 0.95, 0.9}, Case{10, 12, 0.95, 0.95},
               Case{60, 60, 0.95, 0.95}, Case{300, 60, 1.1, 1.05});
  constexpr int seeds = 3;
  milliseconds medians_without{0};
  milliseconds medians_with{0};
  milliseconds tails_without{0};
  milliseconds tails_with{0};
  double above_without = 0;
  double above_with = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    SpeedPlay without(gateways, servers, false, seed);
    SpeedPlay with(gateways, servers, true, seed);
    without.Run(0.45, seconds(20));
    with.Run(0.45, seconds(20));
    medians_without += without.Quantile(0.5);
    medians_with += with.Quantile(0.5);
    tails_without += without.Quantile(0.95);
    tails_with += with.Quantile(0.95);
    above_without += without.PartAboveBound() / seeds;
    above_with += with.PartAboveBound() / seeds;
    // Slow ones get less, not none.
    CHECK(with.SlowShare() > 0.1);
    if (gateways < 300) CHECK(with.SlowShare() < without.SlowShare());
  }
  const auto ratio = [](milliseconds a, milliseconds b) {
    return static_cast<double>(a.count()) / static_cast<double>(b.count());
  };
  CAPTURE(gateways, medians_without.count(), medians_with.count(),
          tails_without.count(), tails_with.count());
  CHECK(ratio(medians_with, medians_without) < median);
  CHECK(ratio(tails_with, tails_without) < tail);
  CHECK(above_with < std::max(0.03, above_without + 0.01));
}

TEST_CASE("a service without reports of speed is placed as before") {
  fakes::PlacementFixture with;
  fakes::PlacementFixture without;
  for (int i = 0; i < 7; ++i) {
    with.Add(std::to_string(i));
    without.Add(std::to_string(i));
  }
  with.work_times.OnReport(state::ServiceId("other"),
                           state::BackendServerId("0"), 400, with.now);
  for (int i = 0; i < 300; ++i) {
    CHECK(with.Start(static_cast<std::uint64_t>(i % 20)) ==
          without.Start(static_cast<std::uint64_t>(i % 20)));
  }
}

}  // namespace
}  // namespace wasabiwall::balancing
