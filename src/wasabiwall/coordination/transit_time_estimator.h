#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/protocol/gen/wasabiwall_types.h"

namespace wasabiwall::coordination {

/// Computes an upper bound of a message's transit time without synchronized
/// clocks: each message echoes the newest clock reading received from its
/// receiver, with the time since then. Safe for concurrent use.
class TransitTimeEstimator {
 public:
  /// @param clock Clock of this process.
  /// @param origin Random offset that distinguishes this process's readings
  /// from those of an earlier process at the same address.
  TransitTimeEstimator(ClockHook clock, std::uint64_t origin);

  /// Writes this process's clock reading and the echo into a message.
  /// @param receiver Sender name that the receiver's messages carried.
  void Stamp(const std::string& receiver,
             protocol::gen::Envelope* envelope) const;

  /// Records the sender's clock reading of a message that has just arrived.
  /// @param sender Name of the sender, as later passed to Stamp.
  /// @return Upper bound of the time since the message was sent, or nothing
  /// when it echoes no reading of this process.
  std::optional<std::chrono::microseconds> OnMessage(
      const std::string& sender, const protocol::gen::Envelope& envelope);

 private:
  struct Reading {
    std::chrono::microseconds clock{0};
    TimePoint heard_at;
  };

  std::chrono::microseconds ToReading(TimePoint time) const;

  ClockHook m_clock;
  std::chrono::microseconds m_origin;
  mutable std::mutex m_mutex;
  std::unordered_map<std::string, Reading> m_readings;
};

}  // namespace wasabiwall::coordination
