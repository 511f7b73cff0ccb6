#include "wasabiwall/hedging/hedge_controller.h"

#include <catch2/catch.hpp>

namespace wasabiwall::hedging {
namespace {

using coordination::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow{seconds(100)};
const state::ServiceId kService("s");

state::Route SafeRoute(milliseconds objective = milliseconds(300)) {
  state::Route route;
  route.host = "h";
  route.path_prefix = "/safe/";
  route.kind = state::CallKind::kIdempotent;
  route.objective = objective;
  return route;
}

HedgeController Controller(double share = 0.1, double burst = 10,
                           int processes = 1) {
  return HedgeController(
      {.share = share, .burst = burst}, [processes] { return processes; },
      [] { return 0U; });
}

void Learn(HedgeController* controller, const state::Route& route,
           milliseconds time) {
  for (int i = 0; i < 50; ++i) {
    controller->OnAnswered(route, LoadClass::kLow, time);
  }
}

TEST_CASE("nothing is hedged unless operators set a limit") {
  HedgeController controller = Controller(0, 0);
  Learn(&controller, SafeRoute(), milliseconds(50));
  CHECK_FALSE(controller.IsEnabled());
  CHECK_FALSE(
      controller.Delay(SafeRoute(), LoadClass::kLow, milliseconds(180)));
}

// Guards against hedges of calls that would have met the objective anyway.
TEST_CASE("a hedge starts when it is just early enough for the objective") {
  HedgeController controller = Controller();
  Learn(&controller, SafeRoute(), milliseconds(50));
  const auto delay =
      controller.Delay(SafeRoute(), LoadClass::kLow, milliseconds(1000));
  REQUIRE(delay);
  CHECK(*delay >= milliseconds(200));
  CHECK(*delay <= milliseconds(250));
}

// Guards against a first attempt that is given up before its hedge is due.
TEST_CASE("a hedge starts before the first attempt would be given up") {
  HedgeController controller = Controller();
  Learn(&controller, SafeRoute(), milliseconds(50));
  CHECK(controller.Delay(SafeRoute(), LoadClass::kLow, milliseconds(180)) ==
        milliseconds(180));
}

TEST_CASE(
    "routes whose usual times leave no room in the objective, calls that "
    "must not run twice and unknown routes are not hedged") {
  HedgeController controller = Controller();
  const milliseconds latest(1000);
  CHECK_FALSE(controller.Delay(SafeRoute(), LoadClass::kLow, latest));
  Learn(&controller, SafeRoute(), milliseconds(200));
  CHECK_FALSE(controller.Delay(SafeRoute(), LoadClass::kLow, latest));
  state::Route unsafe = SafeRoute();
  unsafe.path_prefix = "/once/";
  unsafe.kind = state::CallKind::kNonIdempotent;
  Learn(&controller, unsafe, milliseconds(20));
  CHECK_FALSE(controller.Delay(unsafe, LoadClass::kLow, latest));
}

TEST_CASE("hedges stay within the share and the burst of the operators") {
  constexpr int calls = 1000;
  HedgeController controller = Controller(0.05, 10);
  int hedges = 0;
  for (int i = 0; i < calls; ++i) {
    controller.OnCall(kService);
    if (controller.Take(kService, false, kNow) == HedgeDecision::kHedge) {
      ++hedges;
    }
  }
  CHECK(hedges <= 0.05 * calls + 10);
  CHECK(hedges >= 0.03 * calls);
  CHECK(controller.Take(kService, false, kNow) == HedgeDecision::kLimit);
}

// Guards against hedges that make the calls late which wait for the same room.
TEST_CASE("a service that is short of capacity is not hedged") {
  HedgeController controller = Controller(1, 100);
  for (int i = 0; i < 100; ++i) controller.OnCall(kService);
  CHECK(controller.Take(kService, true, kNow) ==
        HedgeDecision::kShortOfCapacity);
  controller.OnFull(kService, kNow);
  CHECK(controller.Take(kService, false, kNow + seconds(1)) ==
        HedgeDecision::kShortOfCapacity);
  CHECK(controller.Take(kService, false, kNow + seconds(3)) ==
        HedgeDecision::kHedge);
}

// Guards against extra work when no other backend server would be faster.
TEST_CASE("hedging stops while the whole service is slow, and starts again") {
  HedgeController controller = Controller(1, 100);
  for (int i = 0; i < 200; ++i) controller.OnCall(kService);
  for (int i = 0; i < 60; ++i) controller.OnDelayResult(kService, true);
  CHECK(controller.Take(kService, false, kNow) == HedgeDecision::kServiceSlow);
  for (int i = 0; i < 60; ++i) controller.OnDelayResult(kService, false);
  CHECK(controller.Take(kService, false, kNow) == HedgeDecision::kHedge);
}

}  // namespace
}  // namespace wasabiwall::hedging
