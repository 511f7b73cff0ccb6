#include "wasabiwall/coordination/load_reports.h"

#include <chrono>

namespace wasabiwall::coordination {
namespace {

constexpr std::size_t kMaxLoadReports = 256;

}  // namespace

std::vector<protocol::gen::LoadReport> LoadReportsOf(
    const PoolLoadEstimate& loads, TimePoint now) {
  std::vector<protocol::gen::LoadReport> reports;
  for (const LoadObservation& load : loads.Newest(kMaxLoadReports, now)) {
    protocol::gen::LoadReport report;
    report.backend_server = load.server.value;
    report.load_units = load.load_units;
    report.warmup_limit_units = load.warmup_limit_units;
    report.age_ms =
        std::chrono::ceil<std::chrono::milliseconds>(now - load.observed_at)
            .count();
    reports.push_back(report);
  }
  return reports;
}

}  // namespace wasabiwall::coordination
