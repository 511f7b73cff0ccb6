#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/protocol/failure_domain_message.h"
#include "wasabiwall/state/backend_registry.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::coordination {

/// Detects lost failure domains from connection attempts that got no reply, at
/// this gateway and at others, before the registry notices. A domain is taken
/// for lost when several of its backend servers do not reply and this gateway
/// has had no answer from the domain since. It is tried again after a time, and
/// the next attempt decides. Does no I/O. Not safe for concurrent use.
class FailureDomainHealth {
 public:
  struct Hooks {
    /// Sends a report or the news of an answer to the gateways that collect
    /// the reports about a domain.
    std::function<void(const protocol::FailureDomainMessage&)> report;
    /// Sends to all other gateways.
    std::function<void(const protocol::FailureDomainMessage&)> announce;
    /// @return Whether this gateway is one of those that collect the reports.
    /// Only they announce, so that messages grow with the gateways and not with
    /// their square.
    std::function<bool(const state::FailureDomainId&)> is_collector;
    /// Takes changes of what is believed of a domain. May be null.
    /// @param reason What it was decided by.
    std::function<void(const state::FailureDomainId&, bool is_lost,
                       const char* reason)>
        on_change;
  };

  /// @param own_domain Never taken for lost.
  FailureDomainHealth(state::FailureDomainId own_domain, Hooks hooks);

  /// Records that a connection attempt of this gateway got no reply in time.
  /// Refused connections do not count, since their domain has replied.
  void OnConnectTimeout(const state::BackendServer& server, TimePoint now);

  /// Records that a backend server of the domain has answered.
  void OnAnswer(const state::FailureDomainId& domain, TimePoint now);

  /// Handles a message of another gateway.
  /// @param from Address of the sender.
  void OnMessage(const std::string& from,
                 const protocol::FailureDomainMessage& message, TimePoint now);

  /// @return Whether the domain is taken for lost.
  bool IsLost(const state::FailureDomainId& domain, TimePoint now) const;

 private:
  /// A backend server that did not reply.
  struct Timeout {
    std::uint64_t server;
    std::string reporter;
    TimePoint at;
  };

  struct Domain {
    /// Since the last answer, one for each backend server.
    std::vector<Timeout> timeouts;
    TimePoint last_answer;
    TimePoint lost_until;
    /// Whether it was lost and has not answered since.
    bool needs_probe = false;
    TimePoint last_report;
    TimePoint last_announcement;
  };

  /// @return Whether the domain was lost and had not answered since.
  bool RecordAnswer(const state::FailureDomainId& id, TimePoint at);
  void AddTimeout(const state::FailureDomainId& id, Timeout timeout,
                  TimePoint now);
  bool HasEvidence(const Domain& domain, TimePoint now) const;
  void SetLost(const state::FailureDomainId& id, const char* reason,
               TimePoint now);
  /// @return Whether this gateway gets no reply from several domains, so that
  /// its own network is the likelier cause.
  bool IsOwnNetworkSuspect(TimePoint now) const;

  state::FailureDomainId m_own_domain;
  Hooks m_hooks;
  std::map<state::FailureDomainId, Domain> m_domains;
};

}  // namespace wasabiwall::coordination
