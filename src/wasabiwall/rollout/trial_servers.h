#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "wasabiwall/state/backend_registry.h"

namespace wasabiwall::rollout {

/// Chooses the backend servers of a version on trial that get calls: so few
/// that each has about the usual load, and the same ones at all gateways.
class TrialServers {
 public:
  /// @param share Share of the service's calls that go to the version.
  TrialServers(state::ServiceId service, std::string target_version,
               double share);

  /// Chooses anew if the registry has changed.
  void Update(const state::BackendRegistry& registry);

  /// Costs one short hash, since a decision asks for each backend server.
  /// @param server One of the target version.
  /// @return Whether it gets calls.
  bool Contains(const state::BackendServerId& server) const;

  /// @return Number of backend servers that get calls.
  std::size_t Size() const { return m_size; }

  /// @return Number of backend servers of the version that are not draining.
  std::size_t TargetCount() const { return m_target_count; }

  /// @return Versions of the service's other backend servers that are not
  /// draining.
  const std::set<std::string>& OtherVersions() const {
    return m_other_versions;
  }

 private:
  state::ServiceId m_service;
  std::string m_target_version;
  double m_share;
  std::int64_t m_revision = -1;
  std::uint64_t m_seed;
  std::size_t m_size = 0;
  /// Largest hash of a member.
  std::uint64_t m_last_rank = 0;
  std::size_t m_target_count = 0;
  std::set<std::string> m_other_versions;
};

}  // namespace wasabiwall::rollout
