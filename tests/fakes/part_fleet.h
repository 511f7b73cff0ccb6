#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "wasabiwall/coordination/rendezvous_homes.h"
#include "wasabiwall/coordination/request_quarantine.h"

namespace wasabiwall::fakes {

/// What a PartFleet is played with.
struct PartScenario {
  int gateways = 4;
  /// Share of the requests that hold the cause.
  double share = 0.03;
  /// Whether another part comes with the cause, and only with it.
  bool has_companion = false;
  /// Share of the requests with the cause that hold a sound part, the decoy,
  /// which few others hold.
  double decoy_share = 0;
  /// Share of the requests that hold the second cause.
  double second_share = 0;
  /// Whether the cause stands before the other parts but the template.
  bool cause_is_early = true;
  /// Time from the first request until the cause is one; it is answered before.
  std::chrono::milliseconds sound_before{0};
  /// Times from the first request until requests with the causes come.
  std::chrono::milliseconds absent_before{0};
  std::chrono::milliseconds second_absent_before{0};
  std::chrono::milliseconds shortest_answer{300};
  std::chrono::milliseconds longest_answer{2000};
  /// Share of the messages between gateways that are lost.
  double loss = 0;
  bool has_store = true;
  unsigned seed = 1;
};

/// Gateways, backend servers and callers on virtual time, with parts of prompts
/// that end backend servers. Plays the messages between gateways itself.
class PartFleet {
 public:
  using TimePoint = coordination::TimePoint;
  using milliseconds = std::chrono::milliseconds;

  /// What requests with a cause have done.
  struct CauseLog {
    std::vector<TimePoint> sends;
    /// When they ended backend servers.
    std::vector<TimePoint> ends;

    /// @return Sends later than `time` after the fifth end.
    int SendsAfterFifth(milliseconds time) const;
    /// @return The fifth end, or the last one if there are fewer.
    TimePoint FifthEnd() const;
  };

  /// Time of the first request.
  static constexpr TimePoint kStart{std::chrono::seconds(1000)};

  explicit PartFleet(const PartScenario& scenario);

  /// Lets time pass.
  void Run(milliseconds time);

  /// Ends several backend servers at the same moment, by no request.
  /// @param first Index of the first of them.
  void LoseServers(int count, int first = 0);

  const CauseLog& Cause() const { return m_cause; }
  const CauseLog& SecondCause() const { return m_second_cause; }

  /// @return Share of the sound requests that were sent on arrival, of those
  /// that arrived after a time.
  double SoundShareSince(TimePoint since) const;

  /// Makes all gateways take the decoy for the cause of all crashes so far.
  void ConvictDecoy();

  /// @return Number of gateways that hold off the decoy.
  int GatewaysHoldingDecoy() const;

 private:
  struct Call {
    std::string gateway;
    std::vector<std::uint64_t> parts;
    /// Causes that it holds.
    bool holds_cause = false;
    bool holds_second_cause = false;
    int sends = 0;
    TimePoint sent_at;
    std::vector<std::string> probes;
  };

  struct Server {
    int incarnation = 0;
    bool is_up = true;
    std::vector<std::shared_ptr<Call>> calls;
  };

  /// By content.
  using SentTimes = std::map<std::string, TimePoint>;
  using Message = std::function<void(coordination::RequestQuarantine*)>;

  bool Chance(double share);
  milliseconds Between(milliseconds least, milliseconds most);
  void After(milliseconds time, std::function<void()> event);
  bool IsPast(milliseconds time) const { return m_now - kStart >= time; }

  // Messages between gateways.
  void Send(const std::string& to, const Message& message);
  std::vector<std::string> HomesOf(const std::string& fingerprint,
                                   std::size_t count) const;
  bool IsHome(const std::string& fingerprint, const std::string& name,
              std::size_t count) const;
  void SendToHomes(const std::string& from, const std::string& fingerprint,
                   const Message& message);
  void SendToJudges(const std::string& from,
                    const std::vector<std::string>& fingerprints,
                    const Message& message);
  void SendToAll(const std::string& from, const Message& message);
  void Announce(const std::string& name, const std::string& fingerprint);
  void AnnounceAnswered(const std::string& name,
                        const std::string& fingerprint);

  // Gateways.
  void Start(const std::string& name);
  bool MayRun(Call& call);
  void JudgeSoon(const std::string& name);
  /// Records at a gateway that a backend server ended.
  /// @param calls Number of calls of each content whose answers were not
  /// established.
  /// @param sent_times When the latest call with each content was sent.
  void Record(const std::string& name, const std::map<std::string, int>& calls,
              const SentTimes& sent_times, std::int64_t crash);
  void SendRecord(const std::string& from, const std::string& fingerprint,
                  std::int64_t crash, int calls, TimePoint sent_at);

  // Callers and backend servers.
  void Arrive();
  std::vector<std::uint64_t> DrawParts(Call* call);
  /// @return Whether the call was sent.
  bool Place(const std::shared_ptr<Call>& call);
  void EndServer(int index);

  PartScenario m_scenario;
  std::mt19937 m_random;
  TimePoint m_now = kStart;
  std::multimap<TimePoint, std::function<void()>> m_events;
  coordination::ProcessAddresses m_members;
  std::map<std::string, std::unique_ptr<coordination::RequestQuarantine>>
      m_gateways;
  std::map<int, Server> m_servers;
  std::map<std::string, int> m_probes;
  std::set<std::string> m_judging;
  std::int64_t m_crashes = 0;
  CauseLog m_cause;
  CauseLog m_second_cause;
  /// Arrivals of sound requests, and whether each was sent at once.
  std::vector<std::pair<TimePoint, bool>> m_sound;
};

}  // namespace wasabiwall::fakes
