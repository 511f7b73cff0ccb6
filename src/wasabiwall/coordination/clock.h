#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace wasabiwall::coordination {

/// Monotonic time since an arbitrary epoch that is fixed for one process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock,
                                          std::chrono::microseconds>;

/// Returns the current time; virtual in tests.
using ClockHook = std::function<TimePoint()>;

/// Returns 64 random bits; seeded in tests.
using RandomHook = std::function<std::uint64_t()>;

/// @return A clock hook over std::chrono::steady_clock.
inline ClockHook SteadyClock() {
  return [] {
    return std::chrono::time_point_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now());
  };
}

}  // namespace wasabiwall::coordination
