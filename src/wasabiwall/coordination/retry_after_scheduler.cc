#include "wasabiwall/coordination/retry_after_scheduler.h"

#include <algorithm>
#include <utility>

namespace wasabiwall::coordination {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::chrono::seconds kWindow{1};
constexpr double kEwmaWeight = 0.3;
constexpr milliseconds kMaxWait{30000};

}  // namespace

RetryAfterScheduler::RetryAfterScheduler(RandomHook random)
    : m_random(std::move(random)) {}

void RetryAfterScheduler::OnAnswered(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  UpdateRate(now);
  m_window_answers += 1;
}

milliseconds RetryAfterScheduler::Next(milliseconds base, TimePoint now) {
  if (base.count() <= 0) return milliseconds(0);
  const std::lock_guard lock(m_mutex);
  UpdateRate(now);
  const TimePoint earliest = now + base;
  const TimePoint latest = now + std::max(base, kMaxWait);
  TimePoint slot = std::max(earliest, m_next_slot);
  // Beyond the longest wait, slots are drawn at random, since an order is of no
  // use there.
  if (slot > latest) {
    const auto range = static_cast<std::uint64_t>((latest - earliest).count());
    slot = earliest + microseconds(m_random() % (range + 1));
  } else {
    m_next_slot = slot + SlotInterval();
  }
  const milliseconds jitter(m_random() % (base.count() + 1));
  return std::chrono::duration_cast<milliseconds>(slot - now) + jitter;
}

microseconds RetryAfterScheduler::SlotInterval() const {
  if (m_answers_per_second <= 0) return microseconds(0);
  const std::chrono::duration<double> interval(1.0 / m_answers_per_second);
  return std::min(std::chrono::duration_cast<microseconds>(interval),
                  microseconds(kMaxWait));
}

void RetryAfterScheduler::UpdateRate(TimePoint now) {
  const auto elapsed = now - m_window_start;
  if (elapsed < kWindow) return;
  const double seconds = std::chrono::duration<double>(elapsed).count();
  const double rate = m_window_answers / seconds;
  m_answers_per_second += kEwmaWeight * (rate - m_answers_per_second);
  m_window_answers = 0;
  m_window_start = now;
}

}  // namespace wasabiwall::coordination
