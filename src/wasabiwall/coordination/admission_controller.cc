#include "wasabiwall/coordination/admission_controller.h"

namespace wasabiwall::coordination {

using protocol::ErrorKind;
using protocol::Fail;

namespace {

WarmupBounds BoundsOf(const state::Pool& pool) {
  return {.start_units = pool.warmup_units,
          .start_calls = pool.warmup_calls,
          .ceiling_units = pool.load_ceiling_units};
}

}  // namespace

AdmissionController::AdmissionController() : m_warmup(BoundsOf(m_pool)) {}

void AdmissionController::Configure(const state::Pool& pool) {
  const std::lock_guard lock(m_mutex);
  m_pool = pool;
  m_warmup.SetBounds(BoundsOf(pool));
}

protocol::Result<std::int64_t> AdmissionController::Admit(
    std::int64_t cost_units, std::int64_t others_load_units,
    std::int64_t others_count) {
  const std::lock_guard lock(m_mutex);
  const std::int64_t load = m_load_units + cost_units;
  if (m_running == 0) {
    // Otherwise no backend server of an idle pool would admit a call larger
    // than the floor.
    m_load_units = load;
    m_running = 1;
    return m_warmup_number;
  }
  const double mean = static_cast<double>(others_load_units + load) /
                      static_cast<double>(others_count + 1);
  const bool above_floor = load > m_pool.load_floor_units;
  const bool above_mean =
      static_cast<double>(load) > m_pool.max_load_ratio * mean;
  if (above_floor && above_mean) return Fail(ErrorKind::kOverloaded);
  if (load > m_pool.load_ceiling_units) {
    return Fail(ErrorKind::kOverloaded);
  }
  if (load > m_warmup.Units() || m_running >= m_warmup.Calls()) {
    return Fail(ErrorKind::kWarmingUp);
  }
  m_load_units = load;
  ++m_running;
  return m_warmup_number;
}

void AdmissionController::Finish(std::int64_t cost_units, std::int64_t warmup,
                                 bool fast) {
  const std::lock_guard lock(m_mutex);
  m_load_units -= cost_units;
  --m_running;
  if (fast && warmup == m_warmup_number) m_warmup.OnCompletion();
}

void AdmissionController::RestartWarmup(WarmupReason reason) {
  const std::lock_guard lock(m_mutex);
  ++m_warmup_number;
  m_warmup.Restart(reason);
}

bool AdmissionController::IsWithinWarmupLimit() const {
  const std::lock_guard lock(m_mutex);
  return m_running <= 1 ||
         (m_running <= m_warmup.Calls() && m_load_units <= m_warmup.Units());
}

bool AdmissionController::FitsColdLimit() const {
  const std::lock_guard lock(m_mutex);
  return m_running <= 1 || (m_running <= m_pool.warmup_calls &&
                            m_load_units <= m_pool.warmup_units);
}

std::int64_t AdmissionController::LoadUnits() const {
  const std::lock_guard lock(m_mutex);
  return m_load_units;
}

std::int64_t AdmissionController::Running() const {
  const std::lock_guard lock(m_mutex);
  return m_running;
}

std::int64_t AdmissionController::WarmupUnits() const {
  const std::lock_guard lock(m_mutex);
  return m_warmup.Units();
}

}  // namespace wasabiwall::coordination
