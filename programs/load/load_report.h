#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "load/load_client.h"
#include "load/load_options.h"

namespace wasabiwall::load {

/// One finished call with the time of its arrival.
struct TimedRecord {
  CallType type = CallType::kChat;
  std::chrono::milliseconds arrived{0};
  /// Whether the chat had been here before.
  bool returning = false;
  CallRecord record;
};

/// Largest load of a backend server over the mean, at a time.
struct SkewSample {
  std::chrono::milliseconds at{0};
  double skew = 0;
  double mean_units = 0;
};

/// Collects records from many threads and writes the report.
class LoadReport {
 public:
  void Add(const TimedRecord& record);
  void AddSkew(const SkewSample& sample);

  /// Counts a call that is tried again after a refusal.
  void CountRetry();

  /// @return One line for a terminal.
  std::string Progress() const;
  std::string Text() const;
  std::string Json() const;

  /// @return Plot of first-byte time, skew and refusals over time.
  std::string Svg(const LoadOptions& options) const;

  /// @return Calls lost or answered wrongly.
  int Faults() const;

 private:
  struct Summary {
    std::map<Verdict, int> verdicts;
    std::map<std::string, int> error_kinds;
    std::vector<double> first_byte_ms;
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;
  };

  Summary Summarize(CallType type) const;

  mutable std::mutex m_mutex;
  std::vector<TimedRecord> m_records;
  std::vector<SkewSample> m_skews;
  int m_retries = 0;
};

}  // namespace wasabiwall::load
