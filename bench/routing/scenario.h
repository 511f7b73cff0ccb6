#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <vector>

namespace wasabiwall::bench {

using Seconds = std::chrono::duration<double>;

/// Settings that the profiles trade.
struct Limits {
  std::int64_t control_bytes_per_second;
  std::int64_t load_floor_units;
};

/// Size of a fleet, its traffic, and the times of what happens to it.
struct Size {
  const char* name;
  int domains;
  int workers;
  int entries;
  int pools;
  double calls_per_second;
  /// Mean pause between two turns of a chat.
  Seconds pause;
  Seconds warmup;
  Seconds domain_out;
  Seconds domain_back;
  Seconds end;
};

inline constexpr std::array<Size, 5> kSizes = {{
    {"consortium", 3, 20, 4, 1, 70, Seconds(20), Seconds(40), Seconds(80),
     Seconds(110), Seconds(160)},
    {"caerwyn", 3, 12, 4, 1, 40, Seconds(20), Seconds(40), Seconds(80),
     Seconds(110), Seconds(160)},
    {"50/210", 7, 210, 50, 1, 735, Seconds(5), Seconds(10), Seconds(20),
     Seconds(27), Seconds(40)},
    {"200/840", 7, 840, 200, 4, 2940, Seconds(4), Seconds(6), Seconds(11),
     Seconds(16), Seconds(24)},
    {"1000/4200", 7, 4200, 1000, 17, 14700, Seconds(3), Seconds(4), Seconds(7),
     Seconds(9), Seconds(13)},
}};

/// What one run of a policy measured.
struct Result {
  std::int64_t prompt_tokens = 0;
  std::int64_t reused_tokens = 0;
  std::vector<double> skew;
  double control_bytes = 0;
  double refused_hops_per_call = 0;
  int calls = 0;
  int refused = 0;
  int late = 0;
  int lost = 0;
  /// Through the move of the domain and a while after it.
  int move_refused = 0;
  int move_late = 0;
  int move_lost = 0;
  /// Runs started at the domain more than two seconds after it was taken out.
  int move_started = 0;
};

}  // namespace wasabiwall::bench
