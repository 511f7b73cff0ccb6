#include "wasabiwall/coordination/admission_queue.h"

#include <utility>
#include <vector>

namespace wasabiwall::coordination {

bool AdmissionQueue::Add(Waiter waiter, WaiterId* id) {
  if (m_waiters.size() >= m_capacity && !waiter.response_begun) return false;
  *id = m_next_id++;
  const Key key{waiter.priority, !waiter.response_begun, *id};
  m_keys[*id] = key;
  m_waiters.emplace(key, std::move(waiter));
  return true;
}

void AdmissionQueue::Remove(WaiterId id) {
  const auto key = m_keys.find(id);
  if (key == m_keys.end()) return;
  m_waiters.erase(key->second);
  m_keys.erase(key);
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
      Remove(std::get<WaiterId>(key));
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
      Remove(std::get<WaiterId>(key));
    } else {
      blocked[waiter.service].insert(waiter.excluded);
    }
  }
}

}  // namespace wasabiwall::coordination
