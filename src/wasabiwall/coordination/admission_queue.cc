#include "wasabiwall/coordination/admission_queue.h"

#include <vector>

namespace wasabiwall::coordination {

bool AdmissionQueue::Add(Waiter waiter, WaiterId* id) {
  if (m_waiters.size() >= m_capacity) return false;
  *id = m_next_id++;
  m_priorities[*id] = waiter.priority;
  m_waiters.emplace(Key{waiter.priority, *id}, std::move(waiter));
  return true;
}

void AdmissionQueue::Remove(WaiterId id) {
  const auto priority = m_priorities.find(id);
  if (priority == m_priorities.end()) return;
  m_waiters.erase({priority->second, id});
  m_priorities.erase(priority);
}

void AdmissionQueue::Run(TimePoint now) {
  // Callbacks may add and remove calls, so iterate over a copy of the keys.
  std::vector<Key> keys;
  keys.reserve(m_waiters.size());
  for (const auto& [key, waiter] : m_waiters) keys.push_back(key);
  // What the calls that could not be placed excluded, by service.
  std::map<state::ServiceId, Exclusions> blocked;
  for (const Key& key : keys) {
    const auto found = m_waiters.find(key);
    if (found == m_waiters.end()) continue;
    const Waiter waiter = found->second;
    if (now >= waiter.expires) {
      Remove(key.second);
      waiter.on_expired();
      continue;
    }
    const auto same_service = blocked.find(waiter.service);
    if (same_service != blocked.end() &&
        (same_service->second.contains({}) ||
         same_service->second.contains(waiter.excluded))) {
      continue;
    }
    if (waiter.try_place()) {
      Remove(key.second);
    } else {
      blocked[waiter.service].insert(waiter.excluded);
    }
  }
}

}  // namespace wasabiwall::coordination
