#pragma once

#include <unordered_map>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/state/service_config.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::balancing {

/// How long work takes at backend servers that share their machines with
/// others, as a multiple of the usual time. Reports may change many times a
/// second and are averaged; without new ones the multiple approaches 1. Not
/// safe for concurrent use.
class WorkTimeTable {
 public:
  /// Records what a backend server reported in a response.
  /// @param percent Time that work takes; 100 is as usual.
  void OnReport(const state::ServiceId& service,
                const state::BackendServerId& id, int percent,
                coordination::TimePoint now);

  /// Removes a backend server that no longer exists.
  void Forget(const state::BackendServerId& id);

  /// @return Whether a backend server of the service has reported.
  bool Knows(const state::ServiceId& service) const {
    return !m_services.empty() && m_services.contains(service);
  }

  /// @return The multiple, from a quarter to 4; 1 if it is not known.
  double Factor(const state::ServiceId& service,
                const state::BackendServerId& id,
                coordination::TimePoint now) const;

  /// @return The largest multiple of all backend servers; 1 if none is known.
  double Largest(coordination::TimePoint now) const;

 private:
  struct Entry {
    double factor = 1;
    coordination::TimePoint reported_at;
  };
  using Servers = std::unordered_map<state::BackendServerId, Entry>;

  static double Decayed(const Entry& entry, coordination::TimePoint now);

  std::unordered_map<state::ServiceId, Servers> m_services;
};

}  // namespace wasabiwall::balancing
