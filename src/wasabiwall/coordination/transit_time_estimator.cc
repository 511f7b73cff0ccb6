#include "wasabiwall/coordination/transit_time_estimator.h"

#include <utility>

namespace wasabiwall::coordination {
namespace {

using std::chrono::microseconds;

constexpr std::size_t kMaxSenders = 8192;
/// Range of origins, some ten thousand years in microseconds.
constexpr std::uint64_t kOriginRange = std::uint64_t{1} << 58U;
/// An older echo is of no use and may stem from another process.
constexpr std::chrono::hours kMaxTransit{1};

}  // namespace

TransitTimeEstimator::TransitTimeEstimator(ClockHook clock,
                                           std::uint64_t origin)
    : m_clock(std::move(clock)),
      m_origin(static_cast<std::int64_t>(origin % kOriginRange) + 1) {}

void TransitTimeEstimator::Stamp(const std::string& receiver,
                                 protocol::gen::Envelope* envelope) const {
  const TimePoint now = m_clock();
  envelope->clock_us = ToReading(now).count();
  envelope->echo_clock_us = 0;
  envelope->echo_age_us = 0;
  const std::lock_guard lock(m_mutex);
  const auto found = m_readings.find(receiver);
  if (found == m_readings.end()) return;
  envelope->echo_clock_us = found->second.clock.count();
  envelope->echo_age_us = (now - found->second.heard_at).count();
}

std::optional<microseconds> TransitTimeEstimator::OnMessage(
    const std::string& sender, const protocol::gen::Envelope& envelope) {
  const TimePoint now = m_clock();
  if (envelope.clock_us != 0 && !sender.empty()) {
    const std::lock_guard lock(m_mutex);
    if (m_readings.size() >= kMaxSenders) m_readings.clear();
    m_readings[sender] = {microseconds(envelope.clock_us), now};
  }
  if (envelope.echo_clock_us <= 0 || envelope.echo_age_us < 0) return {};
  // The message was sent after the echoed reading, by at least the echo's age.
  const microseconds transit = ToReading(now) -
                               microseconds(envelope.echo_clock_us) -
                               microseconds(envelope.echo_age_us);
  if (transit < microseconds(0) || transit > kMaxTransit) return {};
  return transit;
}

microseconds TransitTimeEstimator::ToReading(TimePoint time) const {
  return m_origin + time.time_since_epoch();
}

}  // namespace wasabiwall::coordination
