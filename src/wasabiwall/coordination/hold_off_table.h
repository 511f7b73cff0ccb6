#pragma once

#include <chrono>
#include <optional>
#include <unordered_map>
#include <utility>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/state/backend_registry.h"

namespace wasabiwall::coordination {

/// Backend servers that have asked this process to send them nothing for a
/// time. Each returns a random time after the end, with a single call until
/// that one is answered, so that the calls of all processes do not arrive at
/// once. Not safe for concurrent use.
class HoldOffTable {
 public:
  explicit HoldOffTable(RandomHook random) : m_random(std::move(random)) {}

  /// Records a request for quiet. Of several, the one that ends last counts.
  /// @param time Requested time; limited to an hour.
  /// @return Time until calls may be sent again.
  std::chrono::milliseconds OnRequest(const state::BackendServer& server,
                                      std::chrono::milliseconds time,
                                      TimePoint now);

  /// Records that a call was sent.
  void OnSent(const state::BackendServer& server, TimePoint now);

  /// Records an answer that does not ask for quiet.
  void OnAnswer(const state::BackendServer& server, TimePoint now);

  /// @return Whether no call may be sent to this incarnation now.
  bool IsHeldOff(const state::BackendServer& server, TimePoint now) const;

  /// @return Time until the backend server may get calls again; zero if it may
  /// now or waits for its first answer only.
  std::chrono::milliseconds TimeLeft(const state::BackendServer& server,
                                     TimePoint now) const;

  /// Removes entries that have long ended.
  void Expire(TimePoint now);

  /// @return Number of backend servers that are held off.
  int Count(TimePoint now) const;

 private:
  struct Entry {
    state::Incarnation incarnation;
    TimePoint until;
    /// When the first call after the end was sent.
    std::optional<TimePoint> probe_sent;
  };

  const Entry* Find(const state::BackendServer& server) const;

  RandomHook m_random;
  std::unordered_map<state::BackendServerId, Entry> m_entries;
};

}  // namespace wasabiwall::coordination
