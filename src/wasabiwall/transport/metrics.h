#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace wasabiwall::transport {

/// Collects the metrics of a process for Prometheus.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  /// Counts one call by its outcome.
  /// @param workspace Label; workspaces beyond a fixed number share one label.
  /// @param error_kind Empty for a complete response.
  void CountCall(const std::string& workspace, const std::string& error_kind);

  /// Records the time to the first byte of a response.
  void ObserveFirstByte(const std::string& workspace,
                        std::chrono::microseconds time);

  /// Records the time between two parts of a streamed response.
  void ObservePartGap(const std::string& workspace,
                      std::chrono::microseconds time);

  /// Adds the attempts of one call.
  void CountAttempts(int attempts);

  /// Counts one response of a backend server.
  /// @param framing What marks the end of its body.
  /// @param end How it ended; a name that the operations page lists.
  void CountBackendResponse(const std::string& framing, const std::string& end);

  /// Counts a decision on a second attempt of a slow call, or its outcome.
  /// @param outcome A name that the operations page lists.
  void CountHedge(const std::string& service, const std::string& outcome);

  /// Counts loads of backend servers in messages between gateways.
  void CountLoadsSent(std::size_t loads);
  void CountLoadsReceived(std::size_t loads);

  /// Counts one attempt of a service that is being moved to another version.
  /// @param outcome How it counts for the version; a name that the operations
  /// page lists.
  void CountRolloutAttempt(const std::string& service,
                           const std::string& version,
                           const std::string& outcome);

  /// Sets the stage of a roll-out, counted from 0 in the order of
  /// state::RolloutStage.
  void SetRolloutStage(const std::string& service, const std::string& target,
                       int stage);

  /// Sets a gauge without labels.
  void SetGauge(const std::string& name, double value);

  /// @return All metrics in the Prometheus text format.
  std::string Text() const;

 private:
  class Families;
  std::string WorkspaceLabel(const std::string& workspace);

  std::unique_ptr<Families> m_families;
  std::mutex m_mutex;
  std::set<std::string> m_labelled_workspaces;
};

}  // namespace wasabiwall::transport
