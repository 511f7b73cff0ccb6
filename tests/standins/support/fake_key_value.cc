#include "standins/support/fake_key_value.h"

namespace wasabiwall::standins {
namespace {

constexpr std::size_t kMaxLog = 100000;

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

state::KeyValueRangeResult FakeKeyValue::Range(
    const state::KeyValueRange& range) {
  const std::lock_guard lock(m_mutex);
  state::KeyValueRangeResult result;
  result.revision = m_revision;
  for (auto entry = m_entries.lower_bound(range.key); entry != m_entries.end();
       ++entry) {
    const bool match = range.prefix ? StartsWith(entry->first, range.key)
                                    : entry->first == range.key;
    if (!match) break;
    if (entry->second.mod_revision < range.min_mod_revision) continue;
    result.entries.push_back(entry->second);
  }
  return result;
}

state::KeyValueTxnResult FakeKeyValue::Txn(const state::KeyValueTxn& txn) {
  const std::lock_guard lock(m_mutex);
  state::KeyValueTxnResult result;
  result.succeeded = Holds(txn);
  if (result.succeeded) {
    if (!txn.writes.empty()) ++m_revision;
    for (const state::KeyValueWrite& write : txn.writes) {
      if (write.remove) {
        Remove(write.key);
      } else {
        Put(write);
      }
    }
    m_changed.notify_all();
  } else {
    for (const std::string& key : txn.reads_on_failure) {
      const auto found = m_entries.find(key);
      if (found != m_entries.end()) result.entries.push_back(found->second);
    }
  }
  result.revision = m_revision;
  return result;
}

std::int64_t FakeKeyValue::GrantLease(std::chrono::seconds ttl) {
  const std::lock_guard lock(m_mutex);
  m_leases[++m_next_lease] = {ttl, m_now + ttl};
  return m_next_lease;
}

std::chrono::seconds FakeKeyValue::RenewLease(std::int64_t lease) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_leases.find(lease);
  if (found == m_leases.end()) return std::chrono::seconds(0);
  found->second.expires = m_now + found->second.ttl;
  return found->second.ttl;
}

void FakeKeyValue::RevokeLease(std::int64_t lease) {
  const std::lock_guard lock(m_mutex);
  DropLease(lease);
}

void FakeKeyValue::SetNow(Milliseconds now) {
  const std::lock_guard lock(m_mutex);
  m_now = now;
  std::vector<std::int64_t> lapsed;
  for (const auto& [id, lease] : m_leases) {
    if (lease.expires <= now) lapsed.push_back(id);
  }
  for (const std::int64_t id : lapsed) DropLease(id);
}

std::vector<state::KeyValueEvent> FakeKeyValue::Events(
    const std::string& prefix, std::int64_t from_revision, Milliseconds wait) {
  std::unique_lock lock(m_mutex);
  std::vector<state::KeyValueEvent> events;
  const auto collect = [&] {
    events.clear();
    for (const Logged& logged : m_log) {
      const bool wanted = logged.revision >= from_revision &&
                          StartsWith(logged.event.entry.key, prefix);
      if (wanted) events.push_back(logged.event);
    }
    return !events.empty();
  };
  m_changed.wait_for(lock, wait, collect);
  return events;
}

std::int64_t FakeKeyValue::Revision() const {
  const std::lock_guard lock(m_mutex);
  return m_revision;
}

state::KeyValueStore FakeKeyValue::Store() {
  state::KeyValueStore store;
  store.range = [this](const auto& range) { return Range(range); };
  store.txn = [this](const auto& txn) { return Txn(txn); };
  store.grant_lease = [this](auto ttl) { return GrantLease(ttl); };
  store.renew_lease = [this](auto lease) { return RenewLease(lease); };
  store.revoke_lease = [this](auto lease) {
    RevokeLease(lease);
    return true;
  };
  return store;
}

void FakeKeyValue::Put(const state::KeyValueWrite& write) {
  state::KeyValueEntry& entry = m_entries[write.key];
  if (entry.key.empty()) entry.create_revision = m_revision;
  entry.key = write.key;
  entry.value = write.value;
  entry.mod_revision = m_revision;
  entry.lease = write.lease;
  m_log.push_back({m_revision, {false, entry}});
  if (m_log.size() > kMaxLog) m_log.erase(m_log.begin());
}

void FakeKeyValue::Remove(const std::string& key) {
  const auto found = m_entries.find(key);
  if (found == m_entries.end()) return;
  state::KeyValueEntry entry;
  entry.key = key;
  entry.mod_revision = m_revision;
  m_log.push_back({m_revision, {true, entry}});
  m_entries.erase(found);
}

void FakeKeyValue::DropLease(std::int64_t lease) {
  m_leases.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, entry] : m_entries) {
    if (entry.lease == lease) keys.push_back(key);
  }
  if (keys.empty()) return;
  ++m_revision;
  for (const std::string& key : keys) Remove(key);
  m_changed.notify_all();
}

bool FakeKeyValue::Holds(const state::KeyValueTxn& txn) const {
  const auto revision = [this](const std::string& key, auto member) {
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? std::int64_t{0} : found->second.*member;
  };
  for (const auto& compare : txn.compares) {
    const auto held =
        revision(compare.key, &state::KeyValueEntry::mod_revision);
    if (held != compare.mod_revision) return false;
  }
  for (const auto& compare : txn.create_compares) {
    const auto held =
        revision(compare.key, &state::KeyValueEntry::create_revision);
    if (held != compare.create_revision) return false;
  }
  // A write bound to a lapsed lease fails in the real service.
  for (const auto& write : txn.writes) {
    if (write.lease != 0 && m_leases.count(write.lease) == 0) return false;
  }
  return true;
}

}  // namespace wasabiwall::standins
