#include "wasabiwall/coordination/pause_guard.h"

namespace wasabiwall::coordination {

PauseGuard::PauseGuard(std::chrono::milliseconds max_gap)
    : m_max_gap(max_gap) {}

void PauseGuard::OnTick(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  DetectPause(now);
  m_last_tick = now;
}

void PauseGuard::OnConfigurationRead(TimePoint began_at) {
  const std::lock_guard lock(m_mutex);
  if (began_at >= m_resumed_at) m_configuration_read = true;
}

void PauseGuard::OnVmListRead(TimePoint began_at) {
  const std::lock_guard lock(m_mutex);
  if (began_at >= m_resumed_at) m_vm_list_read = true;
}

bool PauseGuard::IsConfirmed(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  DetectPause(now);
  return m_configuration_read && m_vm_list_read;
}

bool PauseGuard::NeedsConfigurationRead(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  DetectPause(now);
  return !m_configuration_read;
}

void PauseGuard::DetectPause(TimePoint now) {
  if (!m_last_tick || now - *m_last_tick <= m_max_gap) return;
  m_last_tick = now;
  m_resumed_at = now;
  m_configuration_read = false;
  m_vm_list_read = false;
}

}  // namespace wasabiwall::coordination
