#pragma once

#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "wasabiwall/transport/gateway_context.h"
#include "wasabiwall/transport/resolved_call.h"

namespace wasabiwall::transport {

/// Decides for one call whether its contents, which are the request and the
/// parts of its prompt, may run, and tells the quarantine how the run ended.
class QuarantineGuard {
 public:
  enum class Verdict {
    kRun,
    /// It is being decided whether the call runs as a probe.
    kUndecided,
    kRefuse,
  };

  explicit QuarantineGuard(GatewayContext* context) : m_context(context) {}

  /// Sets the request of the call.
  void Start(const MessageHead& head, const std::string& body,
             const ResolvedCall& call);

  /// @return Whether the call may be sent to a backend server.
  /// @param has_run Whether the call may have run already.
  /// @param on_decided Called once a verdict of kUndecided has been decided;
  /// the next check then returns another one.
  Verdict Check(bool has_run, std::function<void()> on_decided);

  /// @return Whether a content has been quarantined since the call was placed.
  bool IsWithdrawn() const;

  /// @return Whether a content is quarantined, also if the call is its probe.
  bool IsSuspect() const { return !Quarantined().empty(); }

  /// @return Time after which a caller should repeat the request.
  std::chrono::milliseconds RetryAfter() const;

  /// Records that the connection broke while the call may have run.
  /// @param is_established Whether the answer was established.
  /// @param sent_at When the request was sent to the backend server.
  void OnBroken(const state::BackendServer& server, bool is_established,
                coordination::TimePoint sent_at);

  /// Records that the answer is established.
  /// @param sent_at When the request was sent to the backend server.
  void OnEstablished(coordination::TimePoint sent_at);

  /// Records that a backend server has answered in full. An error of its own,
  /// such as a deadline that passed in its queue, does not show that it has run
  /// the contents.
  /// @param status Of the answer.
  /// @param sent_at When the request was sent to the backend server.
  void OnAnswered(int status, coordination::TimePoint sent_at);

  /// Records the end of the call.
  void OnEnded(bool has_run);

  /// @return Fingerprint of the request; empty before Start.
  const std::string& Fingerprint() const { return m_fingerprint; }

  /// @return The request and the contents for which the call was refused, for
  /// the log.
  std::vector<LogField> LogFields() const;

 private:
  /// @return The quarantined contents of the call.
  std::vector<std::string> Quarantined() const;
  /// Takes or claims the probes of all these contents.
  Verdict Probe(const std::vector<std::string>& fingerprints,
                std::function<void()> on_decided);

  GatewayContext* m_context;
  std::string m_fingerprint;
  std::vector<std::uint64_t> m_prompt_parts;
  std::string m_call_id;
  /// Contents that the call runs with although they are quarantined.
  std::set<std::string> m_probes;
  /// Contents for which the call was refused.
  std::vector<std::string> m_held_by;
};

}  // namespace wasabiwall::transport
