// Messages between gateways about roll-outs.
#include "wasabiwall/protocol/rollout_message.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>

namespace wasabiwall::protocol {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// @return A message whose counts are all large.
RolloutMessage LargeMessage(int routes) {
  RolloutMessage message;
  message.order = {3, 12345678901};
  message.service = state::ServiceId("huvo11a");
  message.target_version = "v2";
  message.stage = state::RolloutStage::kShifting;
  message.order_age = milliseconds(4321);
  message.running_on_old = 17;
  for (int i = 0; i < routes; ++i) {
    VersionCounts counts;
    counts.answers = 4000000000U - static_cast<std::uint32_t>(i);
    counts.failures = 70000;
    counts.first_byte.fill(4000000000U);
    counts.event_gap.fill(70000);
    message.routes.push_back({"route-" + std::to_string(i), counts, counts});
  }
  return message;
}

}  // namespace

// Guards against fields that are lost or mixed up on the way.
TEST_CASE("a roll-out message keeps its fields", "[rollout]") {
  RolloutMessage message = LargeMessage(2);
  message.proposal = state::RolloutStage::kCompleted;
  message.routes[1].target.first_byte = {};
  message.routes[1].target.first_byte[23] = 5;
  const auto decoded = DecodeRolloutMessage(EncodeRolloutMessage(message));
  REQUIRE(decoded);
  CHECK(decoded->order == message.order);
  CHECK(decoded->service == message.service);
  CHECK(decoded->target_version == message.target_version);
  CHECK(decoded->stage == message.stage);
  CHECK(decoded->order_age == message.order_age);
  CHECK(decoded->running_on_old == message.running_on_old);
  CHECK(decoded->proposal == message.proposal);
  REQUIRE(decoded->routes.size() == 2);
  CHECK(decoded->routes[0].others.answers == message.routes[0].others.answers);
  CHECK(decoded->routes[1].route == "route-1");
  CHECK(decoded->routes[1].target.first_byte ==
        message.routes[1].target.first_byte);
  CHECK(decoded->routes[1].others.event_gap ==
        message.routes[1].others.event_gap);
}

// Load: 40 routes with the largest counts. Guards against datagrams that are
// fragmented or dropped, and against routes that are left out.
TEST_CASE("a roll-out message is divided into packets", "[rollout]") {
  const auto parts = SplitByRoutes(LargeMessage(40));
  int routes = 0;
  for (const RolloutMessage& part : parts) {
    CHECK(EncodeRolloutMessage(part).size() <= kMaxRolloutMessageBytes);
    CHECK(part.running_on_old == 17);
    for (const auto& route : part.routes) {
      CHECK(route.route == "route-" + std::to_string(routes));
      ++routes;
    }
  }
  CHECK(routes == 40);
  CHECK(SplitByRoutes(LargeMessage(0)).size() == 1);
}

// Load: each prefix of a message and 20,000 messages with changed bytes. Guards
// against a crash by what another process sends.
TEST_CASE("malformed roll-out messages are rejected", "[rollout]") {
  const std::string bytes = EncodeRolloutMessage(LargeMessage(1));
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK(!DecodeRolloutMessage(std::string_view(bytes).substr(0, size)));
  }
  std::mt19937 random(20261206);
  for (int i = 0; i < 20000; ++i) {
    std::string changed = bytes;
    for (unsigned j = 0; j <= random() % 3; ++j) {
      changed[random() % changed.size()] = static_cast<char>(random() % 256);
    }
    const auto decoded = DecodeRolloutMessage(changed);
    if (decoded) CHECK(decoded->order_age.count() >= 0);
  }
  RolloutMessage message = LargeMessage(0);
  message.order_age = milliseconds(-1);
  CHECK(!DecodeRolloutMessage(EncodeRolloutMessage(message)));
  message = LargeMessage(0);
  message.stage = static_cast<state::RolloutStage>(4);
  CHECK(!DecodeRolloutMessage(EncodeRolloutMessage(message)));
  message = LargeMessage(0);
  message.service = state::ServiceId(std::string(201, 'a'));
  CHECK(!DecodeRolloutMessage(EncodeRolloutMessage(message)));
}

// Guards against a version that is three times slower and falls into a bucket
// too near to that of the other versions.
TEST_CASE("three times a time is three buckets further", "[rollout]") {
  for (int us = 4000; us < 2100000; us += 97) {
    CAPTURE(us);
    REQUIRE(TimeBucket(microseconds(3 * us)) >=
            TimeBucket(microseconds(us)) + 3);
  }
  CHECK(TimeBucket(microseconds(0)) == 0);
  CHECK(TimeBucket(std::chrono::hours(1)) == kTimeBuckets - 1);
  for (std::size_t i = 0; i + 1 < kTimeBuckets; ++i) {
    CHECK(TimeBucket(TimeBucketEnd(i) - microseconds(2)) == i);
  }
}

}  // namespace wasabiwall::protocol
