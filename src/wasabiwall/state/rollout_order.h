#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

#include "wasabiwall/state/service_config.h"

namespace wasabiwall::state {

/// Version of the store's item that holds an order. A later order of the same
/// service has a greater one.
struct RolloutOrderId {
  std::int64_t era = 0;
  std::int64_t revision = 0;

  auto operator<=>(const RolloutOrderId&) const = default;
};

/// The operators' request to move a service to another version.
struct RolloutOrder {
  RolloutOrderId id;
  ServiceId service;
  std::string target_version;
  /// Time from the order to its deadline.
  std::chrono::milliseconds duration{0};
};

enum class RolloutStage {
  /// A limited share of the calls goes to the target version.
  kCanary,
  /// All new calls go to the target version; the others finish.
  kShifting,
  kCompleted,
  kRolledBack,
};

/// State of a roll-out as the gateways keep it in the store.
struct RolloutRecord {
  RolloutOrderId order;
  ServiceId service;
  std::string target_version;
  RolloutStage stage = RolloutStage::kCanary;
  /// Age of the order when the record was written.
  std::chrono::milliseconds order_age{0};
  /// Process that wrote it.
  std::string writer;
  /// Why the stage was entered, for operators.
  std::string reason;
};

}  // namespace wasabiwall::state
