#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::rollout {

/// Holds back failures until it is known whether their backend server still
/// runs, and drops those by the end of one backend server. They are not counted
/// as one failure, since each of 300 gateways would count one.
class FailureFilter {
 public:
  struct Hooks {
    /// @return Start of the backend server's incarnation; nothing if it has no
    /// entry or is leaving.
    std::function<std::optional<std::int64_t>(const state::BackendServerId&)>
        incarnation;
    /// Takes failures that count.
    std::function<void(const std::string& route, bool is_target,
                       std::uint32_t count)>
        count;
  };

  explicit FailureFilter(Hooks hooks) : m_hooks(std::move(hooks)) {}

  /// Records a failure.
  /// @param has_response Whether the backend server has sent something.
  void OnFailure(const state::BackendServerId& server, const std::string& route,
                 bool is_target, bool has_response,
                 coordination::TimePoint now);

  /// Records a good answer.
  void OnAnswer(const state::BackendServerId& server,
                coordination::TimePoint now);

  /// Settles failures after which nothing came from their backend server.
  void Tick(coordination::TimePoint now);

  /// @return Whether failures are held back.
  bool IsEmpty() const { return m_servers.empty(); }

 private:
  struct Failure {
    coordination::TimePoint at;
    std::string route;
    bool is_target = false;
  };
  struct Server {
    std::optional<std::int64_t> incarnation;
    std::vector<Failure> failures;
  };

  /// Counts the failures before a time at which the backend server ran.
  void Confirm(const state::BackendServerId& id, coordination::TimePoint now);
  /// Drops the failures of a backend server that has ended; of further ones of
  /// the same version, one failure counts.
  void OnGone(const Server& server);

  Hooks m_hooks;
  std::map<state::BackendServerId, Server> m_servers;
  /// Whether a backend server of the others, and of the target version, has
  /// ended with calls in flight.
  std::array<bool, 2> m_has_gone{};
};

}  // namespace wasabiwall::rollout
