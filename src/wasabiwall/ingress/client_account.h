#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_set>
#include <utility>

#include "wasabiwall/coordination/clock.h"

namespace wasabiwall::ingress {

/// Memory that a connection takes on which nothing is held: socket, parser,
/// timer and callbacks. 480 idle ones take 2 to 3 kB each.
inline constexpr std::size_t kConnectionBytes = 4096;

/// Limits of a ClientAccount, in bytes.
struct AccountLimits {
  /// All clients together.
  std::size_t total = 0;
  /// Part of the total that only clients with little may use.
  std::size_t reserve = 0;
  /// Most that a client with little holds.
  std::size_t little = 0;
};

/// What a client must make room for.
enum class EvictionReason { kMemory, kConnections };

/// Derives the limits from the memory for clients.
AccountLimits LimitsOf(std::size_t client_bytes);

/// Counts what a process holds for all its clients, and chooses whose
/// connection ends when the limits are exceeded.
///
/// The largest single holding may exceed the limits, so that one legal request
/// or response that is larger than them is served. Used on one event loop only.
class ClientAccount {
 public:
  class Entry;

  explicit ClientAccount(AccountLimits limits) : m_limits(limits) {}
  ClientAccount(const ClientAccount&) = delete;
  ClientAccount& operator=(const ClientAccount&) = delete;

  /// @return Bytes held for all clients.
  std::size_t Used() const { return m_used; }

  /// @return Clients that have been evicted since the start.
  std::int64_t Evicted() const { return m_evicted; }

  /// Sets other limits; they count the next time that room is made.
  void SetLimits(AccountLimits limits) { m_limits = limits; }

  /// @return Whether a limit is exceeded.
  bool IsOver() const;

  /// Evicts clients while a limit is exceeded: first the one that has held the
  /// most for the longest with the least progress.
  /// @param self Client on whose behalf room is made, or null. It is not
  /// evicted here.
  /// @return False if `self` must go: it is the next one, or nobody else can
  /// go and it is not one of those that the reserve is for.
  bool MakeRoom(const Entry* self, coordination::TimePoint now);

  /// Evicts clients of those that have waited for the longest, whatever they
  /// hold.
  /// @param youngest Shortest time for which an evicted client has made the
  /// process wait.
  /// @return Number of clients evicted.
  std::size_t EvictSlowest(std::size_t count, coordination::TimePoint now,
                           std::chrono::milliseconds youngest);

  /// One client in an account.
  class Entry {
   public:
    /// @param evict Ends the client's connection or request.
    Entry(ClientAccount* account, std::function<void(EvictionReason)> evict);
    ~Entry();
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    /// Sets the bytes held.
    void Hold(std::size_t bytes);

    /// Begins a phase in which the process waits for the client.
    void BeginWait(coordination::TimePoint now);

    /// Ends that phase: the client is not evicted any more.
    void EndWait() { m_waits = false; }

    /// Records bytes that the client has sent, or taken, in this phase.
    void OnProgress(std::size_t bytes) { m_progress += bytes; }

    std::size_t Held() const { return m_held; }
    bool Waits() const { return m_waits; }
    std::size_t Progress() const { return m_progress; }
    coordination::TimePoint WaitsSince() const { return m_since; }

   private:
    friend class ClientAccount;

    ClientAccount* m_account;
    std::function<void(EvictionReason)> m_evict;
    std::size_t m_held = 0;
    std::size_t m_progress = 0;
    coordination::TimePoint m_since;
    bool m_waits = false;
  };

 private:
  /// @return Whether the limits, lowered by `margin`, are exceeded.
  bool IsOverBy(std::size_t margin) const;
  /// @return Who must go first, or null.
  Entry* Victim(coordination::TimePoint now) const;
  void Evict(Entry* entry, EvictionReason reason);
  /// @return Whether a client that holds so much may not use the reserve.
  bool HasMuch(std::size_t bytes) const { return bytes > m_limits.little; }

  AccountLimits m_limits;
  std::size_t m_used = 0;
  std::size_t m_used_by_large = 0;
  std::int64_t m_evicted = 0;
  std::unordered_set<Entry*> m_entries;
};

}  // namespace wasabiwall::ingress
