#pragma once

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace wasabiwall::standins {

/// Sizes and times of the modelled engine.
struct EngineOptions {
  std::int64_t cache_tokens = 200000;
  std::chrono::microseconds prefill_per_token{20};
  std::chrono::microseconds first_token_base{5000};
  std::chrono::microseconds token_interval{2000};
  int batch = 32;
  /// Completions until the engine is warm.
  int cold_completions = 20;
  double cold_factor = 3.0;
  /// Calls that a cold engine bears at a time; one more fails all.
  int cold_capacity = 8;
  bool checks_fencing = true;
  std::chrono::milliseconds load_lag{200};
};

/// What the engine did for one request.
struct EngineTicket {
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  bool fell_over = false;
  std::chrono::microseconds first_token{0};
};

/// A continuously batching engine: prefix cache by chat with limited size,
/// cold start, lagging load report, fenced orders. Keeps counts as an oracle.
class EngineModel {
 public:
  explicit EngineModel(EngineOptions options);

  /// Starts a request.
  EngineTicket Begin(const std::string& chat, std::int64_t prompt_tokens);

  /// @return Time to the next token under the present batch.
  std::chrono::microseconds TokenInterval();

  /// Ends a request.
  /// @param generated_tokens Tokens that the chat has grown by.
  void End(const std::string& chat, std::int64_t prompt_tokens,
           std::int64_t generated_tokens);

  /// Forgets the cache and starts cold, as after a crash.
  void TurnCold();

  /// Takes an order with a fencing number.
  /// @return False when the number is older than one seen and is checked.
  bool Order(std::int64_t fence, const std::string& text);

  /// @return JSON with lagging load.
  std::string LoadReport();

  /// @return JSON of cache events after a sequence number; every tenth event
  /// is missing.
  std::string CacheEvents(std::int64_t after);

  /// @return JSON of what this engine saw.
  std::string Counts();

 private:
  struct Sample {
    std::chrono::steady_clock::time_point at;
    int running;
  };

  struct CacheEntry {
    std::int64_t tokens;
    std::list<std::string>::iterator place;
  };

  bool Cold() const { return m_completions < m_options.cold_completions; }
  void Store(const std::string& chat, std::int64_t tokens);
  void AddEvent(const char* type, const std::string& chat);
  void SampleLoad();

  EngineOptions m_options;
  std::mutex m_mutex;
  std::unordered_map<std::string, CacheEntry> m_cache;
  std::list<std::string> m_recency;
  std::int64_t m_cached_tokens = 0;
  std::vector<std::string> m_events;
  std::vector<Sample> m_samples;
  std::vector<std::string> m_orders;
  std::int64_t m_highest_fence = 0;
  std::int64_t m_incarnation = 1;
  std::int64_t m_start_time;
  int m_running = 0;
  int m_max_running = 0;
  int m_completions = 0;
  int m_requests = 0;
  int m_fell_over = 0;
  std::int64_t m_prompt_tokens = 0;
  std::int64_t m_reused_tokens = 0;
};

}  // namespace wasabiwall::standins
