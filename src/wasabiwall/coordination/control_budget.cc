#include "wasabiwall/coordination/control_budget.h"

#include <algorithm>
#include <utility>

namespace wasabiwall::coordination {

ControlBudget::ControlBudget(std::int64_t bytes_per_second, ClockHook clock)
    : m_bytes_per_second(static_cast<double>(bytes_per_second)),
      m_clock(std::move(clock)),
      m_tokens(m_bytes_per_second),
      m_filled_at(m_clock()) {}

bool ControlBudget::Take(std::int64_t bytes) { return TakeAbove(0.0, bytes); }

bool ControlBudget::TakeSpare(std::int64_t bytes) {
  return TakeAbove(m_bytes_per_second / 2, bytes);
}

void ControlBudget::Charge(std::int64_t bytes) {
  const std::lock_guard lock(m_mutex);
  Refill();
  m_tokens -= static_cast<double>(bytes);
  m_sent_bytes += bytes;
}

std::int64_t ControlBudget::SentBytes() const {
  const std::lock_guard lock(m_mutex);
  return m_sent_bytes;
}

bool ControlBudget::TakeAbove(double floor, std::int64_t bytes) {
  const std::lock_guard lock(m_mutex);
  Refill();
  if (m_tokens - static_cast<double>(bytes) < floor) return false;
  m_tokens -= static_cast<double>(bytes);
  m_sent_bytes += bytes;
  return true;
}

void ControlBudget::Refill() {
  const TimePoint now = m_clock();
  if (now <= m_filled_at) return;
  const std::chrono::duration<double> elapsed = now - m_filled_at;
  m_tokens = std::min(m_bytes_per_second,
                      m_tokens + elapsed.count() * m_bytes_per_second);
  m_filled_at = now;
}

}  // namespace wasabiwall::coordination
