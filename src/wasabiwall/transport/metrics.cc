#include "wasabiwall/transport/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace wasabiwall::transport {
namespace {

constexpr std::size_t kMaxLabelledWorkspaces = 50;

const prometheus::Histogram::BucketBoundaries& FirstByteSeconds() {
  static const prometheus::Histogram::BucketBoundaries bounds = {
      0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.69, 1.0, 2.0, 5.0, 15.0};
  return bounds;
}

const prometheus::Histogram::BucketBoundaries& PartGapSeconds() {
  static const prometheus::Histogram::BucketBoundaries bounds = {
      0.001, 0.005, 0.01, 0.02, 0.033, 0.05, 0.1, 0.2, 0.5, 1.0, 5.0};
  return bounds;
}

}  // namespace

/// The registry and its families.
class Metrics::Families {
 public:
  Families()
      : calls(prometheus::BuildCounter()
                  .Name("wasabiwall_calls_total")
                  .Help("Calls by workspace and outcome.")
                  .Register(registry)),
        first_byte(prometheus::BuildHistogram()
                       .Name("wasabiwall_first_byte_seconds")
                       .Help("Time to the first byte of an answer.")
                       .Register(registry)),
        part_gap(prometheus::BuildHistogram()
                     .Name("wasabiwall_part_gap_seconds")
                     .Help("Time between two parts of a streamed answer.")
                     .Register(registry)),
        attempts(prometheus::BuildCounter()
                     .Name("wasabiwall_attempts_total")
                     .Help("Submits to side processes.")
                     .Register(registry)
                     .Add({})),
        backend_responses(prometheus::BuildCounter()
                              .Name("wasabiwall_backend_responses_total")
                              .Help("Responses of backend servers by framing "
                                    "and by how they ended.")
                              .Register(registry)),
        hedges(prometheus::BuildCounter()
                   .Name("wasabiwall_hedges_total")
                   .Help("Second attempts of slow calls by decision and "
                         "outcome.")
                   .Register(registry)),
        announced_loads(prometheus::BuildCounter()
                            .Name("wasabiwall_announced_loads_total")
                            .Help("Loads of backend servers in messages "
                                  "between gateways.")
                            .Register(registry)),
        rollout_attempts(prometheus::BuildCounter()
                             .Name("wasabiwall_rollout_attempts_total")
                             .Help("Attempts during roll-outs by service, "
                                   "version and outcome.")
                             .Register(registry)),
        rollout_stage(prometheus::BuildGauge()
                          .Name("wasabiwall_rollout_stage")
                          .Help("Stage of a roll-out: 0 canary, 1 shifting, "
                                "2 completed, 3 rolled back.")
                          .Register(registry)) {}

  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& calls;
  prometheus::Family<prometheus::Histogram>& first_byte;
  prometheus::Family<prometheus::Histogram>& part_gap;
  prometheus::Counter& attempts;
  prometheus::Family<prometheus::Counter>& backend_responses;
  prometheus::Family<prometheus::Counter>& hedges;
  prometheus::Family<prometheus::Counter>& announced_loads;
  prometheus::Family<prometheus::Counter>& rollout_attempts;
  prometheus::Family<prometheus::Gauge>& rollout_stage;
};

Metrics::Metrics() : m_families(std::make_unique<Families>()) {}

Metrics::~Metrics() = default;

void Metrics::CountCall(const std::string& workspace,
                        const std::string& error_kind) {
  m_families->calls
      .Add({{"workspace", WorkspaceLabel(workspace)},
            {"outcome", error_kind.empty() ? "answered" : error_kind}})
      .Increment();
}

void Metrics::ObserveFirstByte(const std::string& workspace,
                               std::chrono::microseconds time) {
  m_families->first_byte
      .Add({{"workspace", WorkspaceLabel(workspace)}}, FirstByteSeconds())
      .Observe(std::chrono::duration<double>(time).count());
}

void Metrics::ObservePartGap(const std::string& workspace,
                             std::chrono::microseconds time) {
  m_families->part_gap
      .Add({{"workspace", WorkspaceLabel(workspace)}}, PartGapSeconds())
      .Observe(std::chrono::duration<double>(time).count());
}

void Metrics::CountAttempts(int attempts) {
  m_families->attempts.Increment(attempts);
}

void Metrics::CountBackendResponse(const std::string& framing,
                                   const std::string& end) {
  m_families->backend_responses.Add({{"framing", framing}, {"end", end}})
      .Increment();
}

void Metrics::CountHedge(const std::string& service,
                         const std::string& outcome) {
  m_families->hedges.Add({{"service", service}, {"outcome", outcome}})
      .Increment();
}

void Metrics::CountLoadsSent(std::size_t loads) {
  m_families->announced_loads.Add({{"direction", "sent"}})
      .Increment(static_cast<double>(loads));
}

void Metrics::CountLoadsReceived(std::size_t loads) {
  m_families->announced_loads.Add({{"direction", "received"}})
      .Increment(static_cast<double>(loads));
}

void Metrics::CountRolloutAttempt(const std::string& service,
                                  const std::string& version,
                                  const std::string& outcome) {
  m_families->rollout_attempts
      .Add({{"service", service}, {"version", version}, {"outcome", outcome}})
      .Increment();
}

void Metrics::SetRolloutStage(const std::string& service,
                              const std::string& target, int stage) {
  m_families->rollout_stage.Add({{"service", service}, {"target", target}})
      .Set(stage);
}

void Metrics::SetGauge(const std::string& name, double value) {
  prometheus::BuildGauge()
      .Name(name)
      .Help("See the operators' page.")
      .Register(m_families->registry)
      .Add({})
      .Set(value);
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(m_families->registry.Collect());
}

std::string Metrics::WorkspaceLabel(const std::string& workspace) {
  const std::lock_guard lock(m_mutex);
  if (m_labelled_workspaces.count(workspace) > 0) return workspace;
  if (m_labelled_workspaces.size() >= kMaxLabelledWorkspaces) return "other";
  m_labelled_workspaces.insert(workspace);
  return workspace;
}

}  // namespace wasabiwall::transport
