#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace wasabiwall::transport {

/// Collects a process's metrics and writes them for Prometheus.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  /// Counts one call by its outcome.
  /// @param workspace Label; past a bounded number, workspaces share one.
  /// @param error_kind Empty after a whole answer.
  void CountCall(const std::string& workspace, const std::string& error_kind);

  /// Records the time to the first byte of an answer.
  void ObserveFirstByte(const std::string& workspace,
                        std::chrono::microseconds time);

  /// Records the time between two parts of a streamed answer.
  void ObservePartGap(const std::string& workspace,
                      std::chrono::microseconds time);

  /// Counts the submits of one call.
  void CountAttempts(int attempts);

  /// Sets a gauge without labels.
  void SetGauge(const std::string& name, double value);

  /// @return All metrics in the text format of Prometheus.
  std::string Text() const;

 private:
  class Families;
  std::string WorkspaceLabel(const std::string& workspace);

  std::unique_ptr<Families> m_families;
  std::mutex m_mutex;
  std::set<std::string> m_named_workspaces;
};

}  // namespace wasabiwall::transport
