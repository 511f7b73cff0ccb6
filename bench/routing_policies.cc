// Compares routing policies on the decision classes alone: many entry and side
// nodes in one process on virtual time, engines modelled as prefix caches.
// Usage: bench-routing-policies CONTROL_BYTES_PER_SECOND FLOOR_UNITS [SIZE...]
#include "wasabiwall/coordination/routing_policies.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "routing/fleet_model.h"

namespace wasabiwall::bench {
namespace {

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      share * static_cast<double>(values.size() - 1))];
}

double Reuse(const Result& result) {
  if (result.prompt_tokens == 0) return 0;
  return static_cast<double>(result.reused_tokens) /
         static_cast<double>(result.prompt_tokens);
}

void Compare(const Size& size, const Limits& limits) {
  std::printf(
      "\n%s: %d domains, %d workers, %d entries, %.0f calls/s, "
      "control budget %d B/s, floor %d units\n",
      size.name, size.domains, size.workers, size.entries,
      size.calls_per_second, static_cast<int>(limits.control_bytes_per_second),
      static_cast<int>(limits.load_floor_units));
  std::printf(
      "| policy | reuse | of all-knowing | load max/mean p50, p99, max | "
      "control B/s | more hops/call | calls | refused, late, lost | in the "
      "move | started at the domain after 2 s |\n");
  std::printf("|---|---|---|---|---|---|---|---|---|---|\n");
  double best = 0;
  std::vector<std::string_view> policies = {kAllKnowing};
  for (const auto name : coordination::RoutingPolicyNames())
    policies.push_back(name);
  for (const std::string_view policy : policies) {
    const Result result = FleetModel(size, policy, limits).Run();
    if (policy == kAllKnowing) best = Reuse(result);
    std::printf(
        "| %s | %.1f%% | %.1f%% | %.2f, %.2f, %.2f | %.0f | %.2f | %d | %d, "
        "%d, %d | %d, %d, %d | %d |\n",
        std::string(policy).c_str(), 100 * Reuse(result),
        100 * Reuse(result) / best, Quantile(result.skew, 0.5),
        Quantile(result.skew, 0.99), Quantile(result.skew, 1.0),
        result.control_bytes, result.refused_hops_per_call, result.calls,
        result.refused, result.late, result.lost, result.move_refused,
        result.move_late, result.move_lost, result.move_started);
    std::fflush(stdout);
  }
}

}  // namespace
}  // namespace wasabiwall::bench

int main(int argc, const char** argv) {
  if (argc < 3) {
    std::fprintf(stderr,
                 "usage: %s CONTROL_BYTES_PER_SECOND FLOOR_UNITS [SIZE...]\n",
                 argv[0]);
    return 2;
  }
  const std::set<std::string> wanted(argv + 3, argv + argc);
  const wasabiwall::bench::Limits limits{std::strtoll(argv[1], nullptr, 10),
                                         std::strtoll(argv[2], nullptr, 10)};
  for (const auto& size : wasabiwall::bench::kSizes) {
    if (!wanted.empty() && !wanted.contains(size.name)) continue;
    wasabiwall::bench::Compare(size, limits);
  }
  return 0;
}
