#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wasabiwall/state/rollout_order.h"

namespace wasabiwall::protocol {

/// Number of logarithmic buckets of a histogram of times.
constexpr std::size_t kTimeBuckets = 24;

/// Counts of attempts by time; bucket 0 holds the shortest.
using TimeHistogram = std::array<std::uint32_t, kTimeBuckets>;

/// What one gateway has seen of a version on a route since the order.
struct VersionCounts {
  std::uint32_t answers = 0;
  std::uint32_t failures = 0;
  TimeHistogram first_byte{};
  TimeHistogram event_gap{};
};

/// Message between gateways about the roll-out of a service.
struct RolloutMessage {
  state::RolloutOrderId order;
  state::ServiceId service;
  std::string target_version;
  /// Stage that the sender follows.
  state::RolloutStage stage = state::RolloutStage::kCanary;
  /// Age of the order, as far as the sender knows.
  std::chrono::milliseconds order_age{0};
  /// Calls of the sender that cannot be repeated and still run on backend
  /// servers of other versions than the target.
  std::uint32_t running_on_old = 0;
  /// Stage that the sender has decided on and asks the receiver to write, since
  /// the store doesn't answer the sender.
  std::optional<state::RolloutStage> proposal;
  /// Cumulative counts by route. A message may hold some of the routes only.
  struct RouteCounts {
    std::string route;
    VersionCounts target;
    VersionCounts others;
  };
  std::vector<RouteCounts> routes;
};

/// Largest encoded message in bytes; it then fits into one packet of any
/// network.
constexpr std::size_t kMaxRolloutMessageBytes = 1200;

/// @return Bucket of a time: bucket 0 ends at 4 ms and each further one is 1.4
/// times as wide, so that the last begins at 6.5 s and that a time three times
/// as long is at least three buckets further.
std::size_t TimeBucket(std::chrono::microseconds time);

/// @return End of a bucket; for the last bucket, twice its beginning.
std::chrono::microseconds TimeBucketEnd(std::size_t bucket);

/// Divides the routes among messages that are small enough for one packet each.
/// @return At least one message.
std::vector<RolloutMessage> SplitByRoutes(const RolloutMessage& message);

/// @return The message as CBOR.
std::string EncodeRolloutMessage(const RolloutMessage& message);

/// @return The message; nothing if the bytes are malformed.
std::optional<RolloutMessage> DecodeRolloutMessage(std::string_view bytes);

}  // namespace wasabiwall::protocol
