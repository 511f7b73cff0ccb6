#include "wasabiwall/ingress/client_account.h"

#include <algorithm>
#include <vector>

namespace wasabiwall::ingress {
namespace {

/// Share of the account that only clients with little may use. They get a
/// quarter, as most requests have a few kilobytes.
constexpr std::size_t kReserveDivisor = 4;
/// A head of the usual limit of 16 kB, and a connection, twice over.
constexpr std::size_t kLittleBytes = 40U << 10U;
/// Room made beyond what is needed, so that the search for victims is rare.
constexpr std::size_t kMarginDivisor = 16;
/// Progress that each client is credited with: one read.
constexpr double kProgressCredit = 64U << 10U;

}  // namespace

AccountLimits LimitsOf(std::size_t client_bytes) {
  return {.total = client_bytes,
          .reserve = client_bytes / kReserveDivisor,
          .little = kLittleBytes};
}

ClientAccount::Entry::Entry(ClientAccount* account,
                            std::function<void(EvictionReason)> evict)
    : m_account(account), m_evict(std::move(evict)) {
  m_account->m_entries.insert(this);
}

ClientAccount::Entry::~Entry() {
  Hold(0);
  m_account->m_entries.erase(this);
}

void ClientAccount::Entry::Hold(std::size_t bytes) {
  if (bytes == m_held) return;
  const auto large = [this](std::size_t held) {
    return m_account->HasMuch(held) ? held : 0;
  };
  m_account->m_used += bytes - m_held;
  m_account->m_used_by_large += large(bytes) - large(m_held);
  m_held = bytes;
}

void ClientAccount::Entry::BeginWait(coordination::TimePoint now) {
  m_waits = true;
  m_since = now;
  m_progress = 0;
}

bool ClientAccount::IsOver() const { return IsOverBy(0); }

bool ClientAccount::IsOverBy(std::size_t margin) const {
  const std::size_t total = m_limits.total - margin;
  const std::size_t large = total - m_limits.reserve;
  if (m_used <= total && m_used_by_large <= large) return false;
  std::size_t largest = 0;
  for (const Entry* entry : m_entries) {
    largest = std::max(largest, entry->m_held);
  }
  return m_used - largest > total ||
         (HasMuch(largest) && m_used_by_large - largest > large);
}

ClientAccount::Entry* ClientAccount::Victim(coordination::TimePoint now) const {
  const bool spares_little = m_used <= m_limits.total;
  const auto score = [now](const Entry& entry) {
    const std::chrono::duration<double, std::milli> age = now - entry.m_since;
    return static_cast<double>(entry.m_held) * (age.count() + 1) /
           (static_cast<double>(entry.m_progress) + kProgressCredit);
  };
  Entry* victim = nullptr;
  double highest = 0;
  for (Entry* entry : m_entries) {
    if (!entry->m_waits || (spares_little && !HasMuch(entry->m_held))) continue;
    const double own = score(*entry);
    if (own <= highest) continue;
    highest = own;
    victim = entry;
  }
  return victim;
}

bool ClientAccount::MakeRoom(const Entry* self, coordination::TimePoint now) {
  if (!IsOver()) return true;
  while (IsOverBy(m_limits.total / kMarginDivisor)) {
    Entry* victim = Victim(now);
    if (victim == nullptr) {
      if (!IsOver() || self == nullptr) return true;
      return m_used <= m_limits.total && !HasMuch(self->m_held);
    }
    if (victim == self) return false;
    Evict(victim, EvictionReason::kMemory);
  }
  return true;
}

void ClientAccount::Evict(Entry* entry, EvictionReason reason) {
  ++m_evicted;
  entry->m_waits = false;
  // A copy: the entry may end meanwhile.
  const auto evict = entry->m_evict;
  evict(reason);
}

std::size_t ClientAccount::EvictSlowest(std::size_t count,
                                        coordination::TimePoint now,
                                        std::chrono::milliseconds youngest) {
  std::vector<Entry*> slow;
  for (Entry* entry : m_entries) {
    if (entry->m_waits && now - entry->m_since >= youngest) {
      slow.push_back(entry);
    }
  }
  count = std::min(count, slow.size());
  std::partial_sort(
      slow.begin(), slow.begin() + static_cast<std::ptrdiff_t>(count),
      slow.end(),
      [](const Entry* a, const Entry* b) { return a->m_since < b->m_since; });
  slow.resize(count);
  for (Entry* entry : slow) {
    // The end of one connection may end others.
    if (m_entries.contains(entry)) Evict(entry, EvictionReason::kConnections);
  }
  return count;
}

}  // namespace wasabiwall::ingress
