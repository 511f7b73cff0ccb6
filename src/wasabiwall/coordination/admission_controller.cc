#include "wasabiwall/coordination/admission_controller.h"

namespace wasabiwall::coordination {

using protocol::ErrorKind;
using protocol::Fail;

AdmissionController::AdmissionController()
    : m_warmup(m_pool.warmup_units, m_pool.load_ceiling_units) {}

void AdmissionController::Configure(const state::Pool& pool) {
  const std::lock_guard lock(m_mutex);
  m_pool = pool;
  m_warmup.SetBounds(pool.warmup_units, pool.load_ceiling_units);
}

protocol::Result<void> AdmissionController::Admit(
    std::int64_t cost_units, std::int64_t others_load_units,
    std::int64_t others_count) {
  const std::lock_guard lock(m_mutex);
  const std::int64_t load = m_load_units + cost_units;
  if (m_running == 0) {
    // A call larger than the floor could run nowhere in an idle pool.
    m_load_units = load;
    m_running = 1;
    return {};
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
  if (load > m_warmup.Units()) {
    return Fail(ErrorKind::kWarmingUp);
  }
  m_load_units = load;
  ++m_running;
  return {};
}

void AdmissionController::Finish(std::int64_t cost_units, bool completed) {
  const std::lock_guard lock(m_mutex);
  m_load_units -= cost_units;
  --m_running;
  if (completed) m_warmup.OnCompletion(cost_units);
}

void AdmissionController::OnCold() {
  const std::lock_guard lock(m_mutex);
  m_warmup.OnCold();
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
