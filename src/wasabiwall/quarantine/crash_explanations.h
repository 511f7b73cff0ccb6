#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "wasabiwall/coordination/clock.h"

namespace wasabiwall::quarantine {

/// What is believed about the causes of crashes.
///
/// A crash has one cause, so that one that is explained counts against nothing
/// else. Several causes may be believed at once, by gateways whose verdicts
/// differ. A belief ends when the cause turns out to be sound. Does no I/O. Not
/// safe for concurrent use.
class CrashExplanations {
 public:
  /// @param max_crashes Most crashes that are kept; the oldest make room.
  explicit CrashExplanations(std::size_t max_crashes = 1024)
      : m_max_crashes(max_crashes) {}

  /// Records that a prompt part is believed to have made a crash.
  /// @param until When the belief ends; TimePoint::max() if by withdrawal only.
  void Add(std::int64_t crash, std::uint64_t cause,
           coordination::TimePoint until = coordination::TimePoint::max());

  /// Ends all beliefs in a cause.
  /// @return Whether there were any.
  bool Withdraw(std::uint64_t cause);

  /// @return Whether a crash is explained.
  bool Contains(std::int64_t crash, coordination::TimePoint now) const;

  /// @return The causes that a crash is believed to have.
  std::vector<std::uint64_t> CausesOf(std::int64_t crash,
                                      coordination::TimePoint now) const;

  /// @return The latest crashes that a cause is believed to have made, at most
  /// `most`; the latest last.
  std::vector<std::int64_t> CrashesOf(std::uint64_t cause,
                                      std::size_t most) const;

  /// @return Number of crashes that a cause was believed to have made, those of
  /// beliefs that have ended by themselves included.
  std::size_t CountOf(std::uint64_t cause) const;

  /// @return Number of crashes that are kept.
  std::size_t Size() const { return m_beliefs.size(); }

 private:
  struct Belief {
    std::uint64_t cause = 0;
    coordination::TimePoint until;
  };

  void Forget(std::int64_t crash);

  std::size_t m_max_crashes;
  std::unordered_map<std::int64_t, std::vector<Belief>> m_beliefs;
  /// Number of beliefs in each cause.
  std::unordered_map<std::uint64_t, std::size_t> m_counts;
  /// Crashes in the order in which they were explained.
  std::deque<std::int64_t> m_order;
};

}  // namespace wasabiwall::quarantine
