#include "wasabiwall/coordination/admission_queue.h"

#include <vector>

namespace wasabiwall::coordination {

bool AdmissionQueue::Add(Waiter waiter, WaiterId* ticket) {
  if (m_waiters.size() >= m_capacity) return false;
  *ticket = m_next++;
  m_priorities[*ticket] = waiter.priority;
  m_waiters.emplace(Key{waiter.priority, *ticket}, std::move(waiter));
  return true;
}

void AdmissionQueue::Remove(WaiterId ticket) {
  const auto priority = m_priorities.find(ticket);
  if (priority == m_priorities.end()) return;
  m_waiters.erase({priority->second, ticket});
  m_priorities.erase(priority);
}

void AdmissionQueue::Run(TimePoint now) {
  // Callbacks may add and remove calls.
  std::vector<Key> keys;
  keys.reserve(m_waiters.size());
  for (const auto& [key, waiter] : m_waiters) keys.push_back(key);
  std::set<state::ServiceId> blocked;
  for (const Key& key : keys) {
    const auto found = m_waiters.find(key);
    if (found == m_waiters.end()) continue;
    const Waiter waiter = found->second;
    if (now >= waiter.expires) {
      Remove(key.second);
      waiter.on_expired();
      continue;
    }
    if (blocked.contains(waiter.service)) continue;
    if (waiter.try_place()) {
      Remove(key.second);
    } else {
      blocked.insert(waiter.service);
    }
  }
}

}  // namespace wasabiwall::coordination
