#include "standins/support/engine_model.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wasabiwall::standins {
namespace {

using Clock = std::chrono::steady_clock;
using nlohmann::json;

constexpr std::size_t kMaxSamples = 4096;
constexpr std::size_t kMaxEvents = 100000;
constexpr std::int64_t kMissingEvent = 10;

}  // namespace

EngineModel::EngineModel(EngineOptions options)
    : m_options(options),
      m_start_time(
          std::chrono::system_clock::now().time_since_epoch().count()) {}

EngineTicket EngineModel::Begin(const std::string& chat,
                                std::int64_t prompt_tokens) {
  const std::lock_guard lock(m_mutex);
  EngineTicket ticket;
  ticket.prompt_tokens = prompt_tokens;
  ++m_requests;
  if (Cold() && m_running >= m_options.cold_capacity) {
    ++m_fell_over;
    ticket.fell_over = true;
    return ticket;
  }
  const auto cached = m_cache.find(chat);
  if (cached != m_cache.end()) {
    ticket.cached_tokens = std::min(cached->second.tokens, prompt_tokens);
  }
  m_prompt_tokens += prompt_tokens;
  m_reused_tokens += ticket.cached_tokens;
  ++m_running;
  m_max_running = std::max(m_max_running, m_running);
  SampleLoad();
  const double crowd = 1.0 + static_cast<double>(m_running) / m_options.batch;
  const double factor = crowd * (Cold() ? m_options.cold_factor : 1.0);
  const auto work =
      m_options.first_token_base +
      m_options.prefill_per_token * (prompt_tokens - ticket.cached_tokens);
  ticket.first_token =
      std::chrono::duration_cast<std::chrono::microseconds>(work * factor);
  return ticket;
}

std::chrono::microseconds EngineModel::TokenInterval() {
  const std::lock_guard lock(m_mutex);
  const double crowd = 1.0 + static_cast<double>(m_running) / m_options.batch;
  const double factor = crowd * (Cold() ? m_options.cold_factor : 1.0);
  return std::chrono::duration_cast<std::chrono::microseconds>(
      m_options.token_interval * factor);
}

void EngineModel::End(const std::string& chat, std::int64_t prompt_tokens,
                      std::int64_t generated_tokens) {
  const std::lock_guard lock(m_mutex);
  --m_running;
  ++m_completions;
  Store(chat, prompt_tokens + generated_tokens);
  SampleLoad();
}

void EngineModel::TurnCold() {
  const std::lock_guard lock(m_mutex);
  ++m_incarnation;
  m_completions = 0;
  m_cache.clear();
  m_recency.clear();
  m_cached_tokens = 0;
}

bool EngineModel::Order(std::int64_t fence, const std::string& text) {
  const std::lock_guard lock(m_mutex);
  if (m_options.checks_fencing && fence < m_highest_fence) return false;
  m_highest_fence = std::max(m_highest_fence, fence);
  m_orders.push_back(text);
  return true;
}

std::string EngineModel::LoadReport() {
  const std::lock_guard lock(m_mutex);
  const auto horizon = Clock::now() - m_options.load_lag;
  int running = 0;
  for (const Sample& sample : m_samples) {
    if (sample.at > horizon) break;
    running = sample.running;
  }
  return json{{"incarnation", std::to_string(m_start_time) + "-" +
                                  std::to_string(m_incarnation)},
              {"running", running},
              {"cached_tokens", m_cached_tokens}}
      .dump();
}

std::string EngineModel::CacheEvents(std::int64_t after) {
  const std::lock_guard lock(m_mutex);
  json events = json::array();
  for (std::size_t i =
           static_cast<std::size_t>(std::max<std::int64_t>(0, after));
       i < m_events.size(); ++i) {
    if (i % kMissingEvent == kMissingEvent - 1) continue;
    events.push_back({{"sequence", i + 1}, {"event", m_events[i]}});
  }
  return json{{"events", events}}.dump();
}

std::string EngineModel::Counts() {
  const std::lock_guard lock(m_mutex);
  return json{{"requests", m_requests},
              {"running", m_running},
              {"max_running", m_max_running},
              {"completions", m_completions},
              {"fell_over", m_fell_over},
              {"cold", Cold()},
              {"prompt_tokens", m_prompt_tokens},
              {"reused_tokens", m_reused_tokens},
              {"orders", m_orders}}
      .dump();
}

void EngineModel::Store(const std::string& chat, std::int64_t tokens) {
  const auto found = m_cache.find(chat);
  if (found != m_cache.end()) {
    m_cached_tokens -= found->second.tokens;
    m_recency.erase(found->second.place);
    m_cache.erase(found);
  }
  m_recency.push_front(chat);
  m_cache[chat] = {tokens, m_recency.begin()};
  m_cached_tokens += tokens;
  AddEvent("stored", chat);
  while (m_cached_tokens > m_options.cache_tokens && m_recency.size() > 1) {
    const std::string oldest = m_recency.back();
    m_recency.pop_back();
    m_cached_tokens -= m_cache[oldest].tokens;
    m_cache.erase(oldest);
    AddEvent("removed", oldest);
  }
}

void EngineModel::AddEvent(const char* type, const std::string& chat) {
  if (m_events.size() < kMaxEvents)
    m_events.push_back(std::string(type) + " " + chat);
}

void EngineModel::SampleLoad() {
  m_samples.push_back({Clock::now(), m_running});
  if (m_samples.size() > kMaxSamples) {
    m_samples.erase(m_samples.begin(), m_samples.begin() + kMaxSamples / 2);
  }
}

}  // namespace wasabiwall::standins
