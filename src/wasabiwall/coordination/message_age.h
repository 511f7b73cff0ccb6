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

/// Bounds from above how long a message was on its way, without a clock that
/// both ends share: each message echoes the newest clock reading heard from
/// its receiver, with the time since then. Safe for concurrent use.
class MessageAge {
 public:
  /// @param clock Clock of this process.
  /// @param origin Random number that tells this process's readings from
  /// those of an earlier process at the same address.
  MessageAge(ClockHook clock, std::uint64_t origin);

  /// Writes this process's reading and the echo into a message.
  /// @param receiver Name under which the receiver's messages were heard.
  void Stamp(const std::string& receiver,
             protocol::gen::Envelope* envelope) const;

  /// Takes in the stamps of a message that has just arrived.
  /// @param sender Name of the sender, as later given to Stamp.
  /// @return Most time that can have passed since the message was sent, or
  /// nothing when it echoes no reading of this process.
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
