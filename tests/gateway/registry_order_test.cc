// Random histories of a backend server's entry, with writes that are carried
// out late, outages and restores from a copy, against the order in which the
// entry was written.
#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "wasabiwall/state/backend_registry.h"

namespace wasabiwall::state {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr LapseTimes kLapseTimes{milliseconds(2700), milliseconds(2200)};
constexpr int kSeeds = 500;
constexpr milliseconds kStep{100};
/// Less than the longest delay of a late write, with the longest step.
constexpr seconds kHistoryTime{25};
const MonotonicTime kStart{seconds(100)};
const BackendServerId kId("a");

/// Start time and sequence of a write, in the order in which it was made.
using Write = std::pair<std::int64_t, std::int64_t>;

class History {
 public:
  explicit History(std::uint64_t seed) : m_random(seed) {
    Deliver(NextWrite());
  }

  void Step() {
    m_now += kStep;
    switch (m_random() % 8) {
      case 0:
      case 1:
        Deliver(NextWrite());
        break;
      case 2:
        m_unanswered.push_back(NextWrite());
        break;
      case 3:
        if (!m_unanswered.empty()) Deliver(AnyOf(m_unanswered));
        break;
      case 4:
        Remove();
        break;
      case 5:
        m_life = {m_life.first + 1, 0};
        Deliver(NextWrite());
        break;
      case 6:
        HaveOutage();
        Remove();
        break;
      default:
        m_registry.OnRestored(m_now);
        m_grace_end = m_now + kLapseTimes.grace;
        if (m_kept_until) m_kept_until = m_grace_end;
        if (m_random() % 2 == 0) {
          Remove();
        } else {
          Deliver(AnyOf(m_delivered));
        }
    }
    Expire();
  }

  bool IsOver() const { return m_now - kStart >= kHistoryTime; }

  void Check() const {
    const auto* known = m_registry.Find(kId);
    REQUIRE((known != nullptr) == m_is_there);
    if (known == nullptr) return;
    CHECK(Write(known->server.incarnation, known->server.sequence) == m_newest);
    CHECK(known->kept_until == m_kept_until);
  }

 private:
  Write NextWrite() {
    ++m_life.second;
    return m_life;
  }

  Write AnyOf(const std::vector<Write>& writes) {
    return writes[m_random() % writes.size()];
  }

  void Deliver(Write write) {
    m_delivered.push_back(write);
    BackendServer server;
    server.id = kId;
    server.service = ServiceId("s");
    server.address = "10.0.0.1:80";
    server.failure_domain = FailureDomainId("z");
    std::tie(server.incarnation, server.sequence) = write;
    m_registry.Put(server, m_now, true);
    // The oracle.
    const bool is_return = write == m_newest && (m_is_there || m_may_live);
    if (write <= m_newest && !is_return) return;
    m_newest = write;
    m_is_there = true;
    m_kept_until.reset();
  }

  void Remove() {
    m_registry.Remove(kId, m_now);
    if (!m_is_there) return;
    if (m_grace_end && m_now < *m_grace_end) {
      m_kept_until = m_grace_end;
      return;
    }
    m_is_there = false;
    m_may_live = false;
    m_kept_until.reset();
  }

  void HaveOutage() {
    m_registry.OnContact(m_now);
    m_registry.OnContactLost();
    m_now += kLapseTimes.shortest_outage;
    m_registry.OnContact(m_now);
    m_grace_end = m_now + kLapseTimes.grace;
    if (m_kept_until) m_kept_until = m_grace_end;
  }

  void Expire() {
    m_registry.Expire(m_now);
    if (!m_kept_until || m_now < *m_kept_until) return;
    m_is_there = false;
    m_may_live = true;
    m_kept_until.reset();
  }

  std::mt19937_64 m_random;
  BackendRegistry m_registry{kLapseTimes};
  MonotonicTime m_now = kStart;
  /// Last write that was made.
  Write m_life{1, 0};
  std::vector<Write> m_unanswered;
  std::vector<Write> m_delivered;

  // What the registry should know.
  Write m_newest{0, 0};
  bool m_is_there = false;
  /// Whether the entry went missing about an outage or a restore.
  bool m_may_live = false;
  std::optional<MonotonicTime> m_grace_end;
  std::optional<MonotonicTime> m_kept_until;
};

TEST_CASE("entries of a backend server count in the order of their writes") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    History history(seed);
    while (!history.IsOver()) {
      history.Step();
      history.Check();
    }
  }
}

}  // namespace
}  // namespace wasabiwall::state
