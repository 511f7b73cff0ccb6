#include "wasabiwall/protocol/rollout_message.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace wasabiwall::protocol {
namespace {

using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// First field of the message, which tells it from others between gateways.
constexpr const char* kType = "rollout";
/// Fields of the message.
constexpr std::size_t kFields = 10;
/// Stands for a message without a proposal.
constexpr int kNoProposal = -1;
/// Longest accepted name; longer ones don't fit into a message with counts.
constexpr std::size_t kMaxNameBytes = 200;
/// Most routes that fit into a message.
constexpr std::size_t kMaxRoutes = 100;
/// Far beyond the duration of any roll-out.
constexpr milliseconds kMaxAge = std::chrono::hours(24 * 30);
/// End of the first bucket: half of the shortest usual time of a plain call.
constexpr double kFirstBucketEndUs = 4000;
/// Growth of the buckets; a version that is three times slower must be at least
/// three buckets further.
constexpr double kBucketGrowth = 1.4;

json EncodeHistogram(const TimeHistogram& histogram) {
  json pairs = json::array();
  for (std::size_t i = 0; i < histogram.size(); ++i) {
    if (histogram[i] == 0) continue;
    pairs.push_back(i);
    pairs.push_back(histogram[i]);
  }
  return pairs;
}

json EncodeCounts(const VersionCounts& counts) {
  return {counts.answers, counts.failures, EncodeHistogram(counts.first_byte),
          EncodeHistogram(counts.event_gap)};
}

/// Reads a whole number of at most 32 bits.
/// @throw json::exception if it is another value.
std::uint32_t ReadCount(const json& field) {
  const auto value = field.get<std::int64_t>();
  if (!field.is_number_integer() || value < 0 || value > UINT32_MAX) {
    throw json::out_of_range::create(401, "count", &field);
  }
  return static_cast<std::uint32_t>(value);
}

state::RolloutStage ReadStage(const json& field) {
  const std::uint32_t stage = ReadCount(field);
  if (stage > static_cast<std::uint32_t>(state::RolloutStage::kRolledBack)) {
    throw json::out_of_range::create(401, "stage", &field);
  }
  return static_cast<state::RolloutStage>(stage);
}

std::string ReadName(const json& field) {
  auto name = field.get<std::string>();
  if (name.size() > kMaxNameBytes) {
    throw json::out_of_range::create(401, "name", &field);
  }
  return name;
}

TimeHistogram ReadHistogram(const json& pairs) {
  if (!pairs.is_array() || pairs.size() > 2 * kTimeBuckets ||
      pairs.size() % 2 != 0) {
    throw json::out_of_range::create(401, "histogram", &pairs);
  }
  TimeHistogram histogram{};
  for (std::size_t i = 0; i < pairs.size(); i += 2) {
    const std::uint32_t bucket = ReadCount(pairs[i]);
    if (bucket >= kTimeBuckets) {
      throw json::out_of_range::create(401, "bucket", &pairs);
    }
    histogram[bucket] = ReadCount(pairs[i + 1]);
  }
  return histogram;
}

VersionCounts ReadCounts(const json& field) {
  return {ReadCount(field.at(0)), ReadCount(field.at(1)),
          ReadHistogram(field.at(2)), ReadHistogram(field.at(3))};
}

json EncodeRoute(const RolloutMessage::RouteCounts& route) {
  return {route.route, EncodeCounts(route.target), EncodeCounts(route.others)};
}

}  // namespace

std::size_t TimeBucket(microseconds time) {
  double end = kFirstBucketEndUs;
  std::size_t bucket = 0;
  while (bucket + 1 < kTimeBuckets &&
         static_cast<double>(time.count()) >= end) {
    end *= kBucketGrowth;
    ++bucket;
  }
  return bucket;
}

microseconds TimeBucketEnd(std::size_t bucket) {
  double end = kFirstBucketEndUs;
  for (std::size_t i = 0; i < bucket && i + 1 < kTimeBuckets; ++i) {
    end *= i + 2 < kTimeBuckets ? kBucketGrowth : 2;
  }
  return microseconds(static_cast<std::int64_t>(end));
}

std::vector<RolloutMessage> SplitByRoutes(const RolloutMessage& message) {
  RolloutMessage head = message;
  head.routes.clear();
  const std::size_t head_bytes = EncodeRolloutMessage(head).size();
  std::vector<RolloutMessage> parts = {head};
  std::size_t bytes = head_bytes;
  for (const RolloutMessage::RouteCounts& route : message.routes) {
    std::string encoded;
    json::to_cbor(EncodeRoute(route), encoded);
    // The length of the list of routes may take two bytes more.
    if (!parts.back().routes.empty() &&
        bytes + encoded.size() + 2 > kMaxRolloutMessageBytes) {
      parts.push_back(head);
      bytes = head_bytes;
    }
    bytes += encoded.size();
    parts.back().routes.push_back(route);
  }
  return parts;
}

std::string EncodeRolloutMessage(const RolloutMessage& message) {
  json routes = json::array();
  for (const auto& route : message.routes) routes.push_back(EncodeRoute(route));
  const json fields = {
      kType,
      message.order.era,
      message.order.revision,
      message.service.value,
      message.target_version,
      static_cast<int>(message.stage),
      message.order_age.count(),
      message.running_on_old,
      message.proposal ? static_cast<int>(*message.proposal) : kNoProposal,
      std::move(routes)};
  std::string bytes;
  json::to_cbor(fields, bytes);
  return bytes;
}

std::optional<RolloutMessage> DecodeRolloutMessage(std::string_view bytes) {
  try {
    const json fields = json::from_cbor(bytes);
    if (fields.at(0) != kType || fields.size() != kFields) return std::nullopt;
    RolloutMessage message;
    message.order.era = fields.at(1).get<std::int64_t>();
    message.order.revision = fields.at(2).get<std::int64_t>();
    message.service = state::ServiceId(ReadName(fields.at(3)));
    message.target_version = ReadName(fields.at(4));
    message.stage = ReadStage(fields.at(5));
    message.order_age = milliseconds(fields.at(6).get<std::int64_t>());
    if (message.order_age.count() < 0 || message.order_age > kMaxAge) {
      return std::nullopt;
    }
    message.running_on_old = ReadCount(fields.at(7));
    if (fields.at(8) != kNoProposal) message.proposal = ReadStage(fields[8]);
    const json& routes = fields.at(9);
    if (!routes.is_array() || routes.size() > kMaxRoutes) return std::nullopt;
    for (const json& route : routes) {
      message.routes.push_back({ReadName(route.at(0)), ReadCounts(route.at(1)),
                                ReadCounts(route.at(2))});
    }
    return message;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace wasabiwall::protocol
