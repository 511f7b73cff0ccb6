#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "wasabiwall/coordination/rendezvous_homes.h"
#include "wasabiwall/coordination/request_quarantine.h"
#include "wasabiwall/protocol/crash_message.h"
#include "wasabiwall/state/backend_registry.h"
#include "wasabiwall/transport/tcp_connection.h"

namespace wasabiwall::transport {

/// Finds out whether a backend server has ended when a connection to it breaks,
/// and tells the other gateways which requests it ran.
///
/// A connection also breaks for other reasons. The backend server has ended if
/// it accepts no new one, or if another incarnation follows soon. Used on one
/// event loop only.
class CrashMonitor {
 public:
  /// Sends a message to the address of another gateway; it may be lost.
  using SendHook = std::function<void(const std::string& address,
                                      const protocol::CrashMessage& message)>;

  CrashMonitor(EventLoop* loop, coordination::RequestQuarantine* quarantine,
               std::string own_name, SendHook send);
  ~CrashMonitor();
  CrashMonitor(const CrashMonitor&) = delete;
  CrashMonitor& operator=(const CrashMonitor&) = delete;

  /// Sets the gateways of the fleet.
  /// @param members Those with an address.
  void SetMembers(
      std::shared_ptr<const coordination::ProcessAddresses> members) {
    m_members = std::move(members);
  }

  /// @return Whether this gateway is one of the first homes of the content.
  bool IsFirstHome(const std::string& fingerprint) const;

  /// @return Whether this gateway gets all records of the prompt part and is
  /// told where it has been answered, as far as it knows.
  bool IsJudge(const std::string& fingerprint) const;

  /// Records that the connection to a backend server broke while it may have
  /// run a call.
  /// @param fingerprints The call's request and the parts of its prompt.
  /// @param is_established Whether the answer to the call was established.
  /// @param sent_at When the call was sent to the backend server.
  void OnConnectionBroken(const state::BackendServer& server,
                          const std::vector<std::string>& fingerprints,
                          bool is_established, coordination::TimePoint sent_at);

  /// Tells the judges of a prompt part of an established answer.
  void TellEstablished(const std::string& fingerprint,
                       coordination::TimePoint sent_at);

  /// Judges prompt parts anew, since crashes may have lost their explanation.
  void OnReleased() { JudgeSoon(); }

  /// Tells the gateways that have records of a prompt part that a request with
  /// the part was answered.
  void TellAnswered(const std::string& fingerprint,
                    coordination::TimePoint sent_at);

  /// Tells all other gateways that this one has quarantined a content, since
  /// the store may be away.
  void TellQuarantined(const std::string& fingerprint,
                       coordination::TimePoint first_crash_at);

  /// Tells all other gateways that a quarantined content was answered.
  void TellReleased(const std::string& fingerprint,
                    coordination::TimePoint sent_at);

  /// Records that an incarnation of a backend server has ended or been
  /// replaced.
  void OnGone(const state::BackendServerId& id);

  /// Handles a message of another gateway.
  /// @param from Address of the sender.
  void OnMessage(const std::string& from,
                 const protocol::CrashMessage& message);

 private:
  struct Check;

  /// Calls whose connections to one backend server broke.
  struct BrokenCalls {
    state::BackendServer server;
    std::size_t count = 0;
    /// Contents of the calls, with the number of calls whose answers were
    /// not established.
    std::map<std::string, int> fingerprints;
    /// When the latest call with each content was sent.
    std::map<std::string, coordination::TimePoint> sent_at;
    coordination::TimePoint broken_at;

    /// Adds the contents of a call.
    /// @param calls 1, or 0 if its answer was established.
    void Add(const std::string& content, int calls,
             coordination::TimePoint call_sent_at);
  };

  void OnChecked(const state::BackendServerId& id, bool has_ended);
  /// Keeps the calls for a time in which the backend server may turn out to
  /// have been replaced.
  void KeepForReplacement(BrokenCalls calls);
  void RecordCrash(const BrokenCalls& calls);
  /// Takes the crash for that of the quarantined prompt parts among its calls,
  /// if there are any, and tells the judges of the other parts.
  void AttributeToQuarantined(const BrokenCalls& calls, std::int64_t crash);
  void SendToJudges(const std::set<std::string>& fingerprints,
                    const protocol::CrashMessage& message);
  /// Sends to the homes of each content what the message says of it.
  void SendToHomes(const protocol::CrashMessage& message);
  void SendToAll(const protocol::CrashMessage& message);
  /// What this gateway knows of answers, for other gateways.
  struct AnswerMessages {
    protocol::CrashMessage requests{
        .kind = protocol::CrashMessage::Kind::kAnswered};
    protocol::CrashMessage parts{.kind =
                                     protocol::CrashMessage::Kind::kAnswered};
  };

  /// @return When the latest answered request with the content was sent;
  /// nothing if none is known, and nothing is added.
  std::optional<coordination::TimePoint> AddKnownAnswer(
      const std::string& fingerprint, AnswerMessages* answers) const;
  /// Tells of which of the contents other requests have been answered.
  void TellKnownAnswers(const std::map<std::string, int>& fingerprints);
  /// Judges prompt parts once the records of a crash are complete.
  void JudgeSoon();
  /// Tells the judges of a prompt part that is close to a verdict of an answer.
  void TellJudges(const std::string& fingerprint,
                  coordination::TimePoint sent_at);
  std::chrono::milliseconds AgeOf(coordination::TimePoint time) const;

  EventLoop* m_loop;
  coordination::RequestQuarantine* m_quarantine;
  std::string m_own_name;
  SendHook m_send;
  std::shared_ptr<const coordination::ProcessAddresses> m_members =
      std::make_shared<coordination::ProcessAddresses>();
  std::unordered_map<state::BackendServerId, std::unique_ptr<Check>> m_checks;
  /// Calls of backend servers that accepted a new connection.
  std::unordered_map<state::BackendServerId, BrokenCalls> m_survived;
  Timer m_judge_timer;
  bool m_judges_soon = false;
};

}  // namespace wasabiwall::transport
