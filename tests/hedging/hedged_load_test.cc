// Plays open loads of a plain service on virtual time and compares the slowest
// response times, and the work that they cost, with and without hedging.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "wasabiwall/hedging/hedge_controller.h"

namespace wasabiwall::hedging {
namespace {

using coordination::TimePoint;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kServers = 7;
constexpr int kSlots = 8;
constexpr double kShare = 0.05;
/// As on deployments with some dozens of gateways; at 300 it is less than one
/// for each.
constexpr double kBurst = 100;
/// Most extra sends of all gateways that the limits above allow.
constexpr double kAllowance = kShare * 1.2;

struct Scenario {
  int gateways = 1;
  /// Factor of the times of one backend server.
  double one_slow = 1;
  /// Factor of the times of all in the second half of the calls.
  double all_slow = 1;
  double calls_per_second = 450;
  bool hedges = true;
};

struct Result {
  std::vector<milliseconds> times;
  int hedges = 0;
  /// Hedges of the last quarter of the calls.
  int late_hedges = 0;
  int cancelled_too_late = 0;

  milliseconds At(double quantile) const {
    const auto index = static_cast<std::size_t>(
        quantile * static_cast<double>(times.size() - 1));
    return times[index];
  }
};

/// A fleet of gateways in front of seven backend servers with eight slots each,
/// which take 930 calls a second.
class HedgedLoad {
 public:
  HedgedLoad(const Scenario& scenario, std::uint64_t seed)
      : m_scenario(scenario),
        m_random(seed),
        m_own(static_cast<std::size_t>(scenario.gateways)) {
    m_route.host = "h";
    m_route.path_prefix = "/safe/";
    m_route.kind = state::CallKind::kIdempotent;
    m_route.objective = milliseconds(300);
    for (int i = 0; i < scenario.gateways; ++i) {
      m_gateways.emplace_back(
          HedgeLimits{scenario.hedges ? kShare : 0, kBurst},
          [this] { return m_scenario.gateways; },
          [this] { return m_random(); });
    }
  }

  Result Play(int calls) {
    std::exponential_distribution<double> gap(m_scenario.calls_per_second);
    double at = 0;
    for (int i = 0; i < calls; ++i) {
      at += gap(m_random);
      m_calls.push_back({.gateway = m_random() % m_gateways.size()});
      Schedule(TimePoint(microseconds(static_cast<std::int64_t>(at * 1e6))),
               [this, i] { StartCall(i); });
    }
    while (!m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.at;
      event.run();
    }
    std::ranges::sort(m_result.times);
    return m_result;
  }

 private:
  struct Event {
    TimePoint at;
    std::int64_t order = 0;
    std::function<void()> run;

    bool operator<(const Event& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };

  struct Attempt {
    std::size_t gateway = 0;
    int server = 0;
    /// Time that it takes at a backend server of usual speed, in milliseconds.
    double work_ms = 0;
    TimePoint sent_at;
    bool is_running = false;
    bool is_over = false;
  };

  struct Call {
    std::size_t gateway = 0;
    TimePoint began_at;
    std::vector<std::shared_ptr<Attempt>> attempts;
    bool is_armed = false;
    bool is_late = false;
    bool is_answered = false;
  };

  struct Server {
    int running = 0;
    std::queue<std::function<bool()>> waiting;
  };

  void Schedule(TimePoint at, std::function<void()> run) {
    m_events.push({at, ++m_order, std::move(run)});
  }

  /// @return The backend server at which the gateway itself has fewest calls in
  /// flight, other than one of them.
  int ChooseServer(std::size_t gateway, int except) {
    const auto& own = m_own[gateway];
    const int offset = static_cast<int>(m_random() % kServers);
    int best = -1;
    for (int i = 0; i < kServers; ++i) {
      const int server = (offset + i) % kServers;
      if (server == except) continue;
      if (best < 0 || own[Index(server)] < own[Index(best)]) best = server;
    }
    return best;
  }

  static std::size_t Index(int server) {
    return static_cast<std::size_t>(server);
  }

  void StartCall(int index) {
    Call& call = m_calls[static_cast<std::size_t>(index)];
    HedgeController& hedging = m_gateways[call.gateway];
    call.began_at = m_now;
    hedging.OnCall(m_service);
    Send(index, ChooseServer(call.gateway, -1));
    const auto delay =
        hedging.Delay(m_route, LoadClass::kLow, milliseconds(10000));
    if (!delay) return;
    call.is_armed = true;
    Schedule(m_now + *delay, [this, index] { OnDelay(index); });
  }

  void OnDelay(int index) {
    Call& call = m_calls[static_cast<std::size_t>(index)];
    if (call.is_answered) return;
    call.is_late = true;
    const int first = call.attempts.front()->server;
    const int target = ChooseServer(call.gateway, first);
    const auto& own = m_own[call.gateway];
    if (own[Index(target)] >= own[Index(first)]) return;
    if (m_gateways[call.gateway].Take(m_service, false, m_now) !=
        HedgeDecision::kHedge) {
      return;
    }
    ++m_result.hedges;
    if (Index(index) * 4 >= m_calls.size() * 3) ++m_result.late_hedges;
    Send(index, target);
  }

  void Send(int index, int server) {
    Call& call = m_calls[static_cast<std::size_t>(index)];
    auto attempt = std::make_shared<Attempt>(
        Attempt{.gateway = call.gateway,
                .server = server,
                .work_ms = WorkOf(index, call.attempts.size()),
                .sent_at = m_now});
    call.attempts.push_back(attempt);
    ++m_own[call.gateway][Index(server)];
    Server& at = m_servers[static_cast<std::size_t>(server)];
    at.waiting.push([this, index, attempt] { return Run(index, attempt); });
    RunNext(server);
  }

  void RunNext(int server) {
    Server& at = m_servers[static_cast<std::size_t>(server)];
    while (at.running < kSlots && !at.waiting.empty()) {
      const auto run = std::move(at.waiting.front());
      at.waiting.pop();
      if (run()) ++at.running;
    }
  }

  /// @return 60 ms, or ten times as long for one attempt in a hundred; the same
  /// whether calls are hedged or not.
  static double WorkOf(int call, std::size_t attempt) {
    std::mt19937_64 random(static_cast<std::uint64_t>(call) * 2 + attempt);
    std::lognormal_distribution<double> work(std::log(55.0), 0.4);
    const double time = work(random);
    return random() % 100 == 0 ? time * 10 : time;
  }

  /// @return False if the attempt was cancelled while it waited.
  bool Run(int index, const std::shared_ptr<Attempt>& attempt) {
    if (attempt->is_over) return false;
    attempt->is_running = true;
    double time = attempt->work_ms;
    if (Index(index) * 2 >= m_calls.size()) time *= m_scenario.all_slow;
    if (attempt->server == 0) time *= m_scenario.one_slow;
    Schedule(m_now + microseconds(static_cast<std::int64_t>(time * 1000)),
             [this, index, attempt] { OnWorkDone(index, attempt); });
    return true;
  }

  void OnWorkDone(int index, const std::shared_ptr<Attempt>& attempt) {
    if (attempt->is_over) return;
    Finish(*attempt);
    Call& call = m_calls[static_cast<std::size_t>(index)];
    if (call.is_answered) {
      ++m_result.cancelled_too_late;
      return;
    }
    call.is_answered = true;
    HedgeController& hedging = m_gateways[call.gateway];
    if (call.is_armed) hedging.OnDelayResult(m_service, call.is_late);
    hedging.OnAnswered(m_route, LoadClass::kLow, m_now - attempt->sent_at);
    for (const auto& other : call.attempts) {
      if (other->is_over) continue;
      hedging.OnCancelled(m_route, LoadClass::kLow, m_now - other->sent_at);
      Finish(*other);
    }
    m_result.times.push_back(
        std::chrono::duration_cast<milliseconds>(m_now - call.began_at));
  }

  void Finish(Attempt& attempt) {
    attempt.is_over = true;
    --m_own[attempt.gateway][Index(attempt.server)];
    if (!std::exchange(attempt.is_running, false)) return;
    --m_servers[Index(attempt.server)].running;
    RunNext(attempt.server);
  }

  Scenario m_scenario;
  std::mt19937_64 m_random;
  state::Route m_route;
  state::ServiceId m_service{"s"};
  std::vector<HedgeController> m_gateways;
  std::vector<Server> m_servers{kServers};
  /// Calls in flight by gateway and backend server.
  std::vector<std::array<int, kServers>> m_own;
  std::vector<Call> m_calls;
  std::priority_queue<Event> m_events;
  std::int64_t m_order = 0;
  TimePoint m_now;
  Result m_result;
};

constexpr int kCalls = 30000;

Result Play(Scenario scenario, bool hedges) {
  scenario.hedges = hedges;
  return HedgedLoad(scenario, 1).Play(kCalls);
}

// Answers a load of which one call in a hundred takes ten times as long.
TEST_CASE("hedging cuts the slowest responses in calm at little extra work") {
  const int gateways = GENERATE(1, 10, 60);
  const Result before = Play({.gateways = gateways}, false);
  const Result after = Play({.gateways = gateways}, true);
  CAPTURE(gateways, before.At(0.99), after.At(0.99), before.At(0.999),
          after.At(0.999), after.hedges);
  REQUIRE(after.times.size() == kCalls);
  CHECK(after.At(0.999) < before.At(0.999) * 0.8);
  CHECK(after.At(0.5) <= before.At(0.5) + milliseconds(2));
  CHECK(after.hedges <= kAllowance * kCalls + kBurst);
  CHECK(after.cancelled_too_late == 0);
}

// At 300 gateways each sees 100 calls in a minute, so that their times are
// known late and few calls are hedged; nothing must become worse.
TEST_CASE("hedging by many gateways stays within the limits of all together") {
  const Result before = Play({.gateways = 300}, false);
  const Result after = Play({.gateways = 300}, true);
  CAPTURE(before.At(0.999), after.At(0.999), after.hedges);
  CHECK(after.At(0.999) <= before.At(0.999) * 1.05);
  CHECK(after.hedges <= kAllowance * kCalls + kBurst);
}

// Answers a load with one backend server in seven five times slower.
TEST_CASE("hedging bridges one slow backend server in seven") {
  const int gateways = GENERATE(1, 10, 60);
  const Scenario scenario{.gateways = gateways, .one_slow = 5};
  const Result before = Play(scenario, false);
  const Result after = Play(scenario, true);
  CAPTURE(gateways, before.At(0.99), after.At(0.99), before.At(0.999),
          after.At(0.999), after.hedges);
  CHECK(after.At(0.99) < before.At(0.99) * 0.9);
  CHECK(after.hedges <= kAllowance * kCalls + kBurst);
}

// Guards against hedges that make an overload worse.
TEST_CASE("hedging stops when all backend servers are slow") {
  const int gateways = GENERATE(1, 10, 60);
  // 56 slots take 311 calls of 180 ms a second.
  const Scenario scenario{
      .gateways = gateways, .all_slow = 3, .calls_per_second = 200};
  const Result before = Play(scenario, false);
  const Result after = Play(scenario, true);
  CAPTURE(gateways, before.At(0.5), after.At(0.5), before.At(0.99),
          after.At(0.99), after.late_hedges);
  CHECK(after.At(0.5) <= before.At(0.5) * 1.02);
  CHECK(after.At(0.99) <= before.At(0.99) * 1.05);
  CHECK(after.late_hedges <= 0.005 * kCalls / 4);
}

}  // namespace
}  // namespace wasabiwall::hedging
