// Sound requests are held off for crashes that another prompt part has caused.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "wasabiwall/coordination/request_fingerprint.h"
#include "wasabiwall/coordination/request_quarantine.h"

namespace wasabiwall::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
/// Time between crashes that the cause makes.
constexpr milliseconds kInterval{85};
/// Part that all requests begin with, and the one that is the cause.
constexpr std::uint64_t kTemplate = 1;
constexpr std::uint64_t kCause = 2;

/// A gateway with requests whose streams take longer than the test.
class Gateway {
 public:
  Gateway() : m_quarantine({}) {
    // Answered before the first crash, not after it.
    m_quarantine.OnPartAnswered(kTemplate, m_now);
  }

  RequestQuarantine& Quarantine() { return m_quarantine; }

  /// Lets time pass, with a verdict whenever one may follow.
  void Wait(milliseconds time) {
    constexpr milliseconds step{5};
    for (const TimePoint end = m_now + time; m_now < end; m_now += step) {
      m_quarantine.JudgePromptParts(m_now);
    }
  }

  /// Ends a backend server that ran requests with the template, and one with
  /// the cause.
  void EndByCause() {
    Crash(kTemplate);
    Crash(kCause);
    ++m_crash;
  }

  /// Ends a backend server that ran requests with the template only.
  void EndByItself() {
    Crash(kTemplate);
    ++m_crash;
  }

  /// Receives the record that another gateway has of the last crash.
  void OnLateRecord() {
    m_quarantine.OnPeerRecords(
        {{FingerprintOfPromptPart(kTemplate), m_crash - 1, milliseconds(0)}},
        m_now);
  }

  bool IsHeldOff(std::uint64_t part) const {
    return m_quarantine.TimeLeft(FingerprintOfPromptPart(part), m_now)
        .has_value();
  }

  TimePoint Now() const { return m_now; }

 private:
  void Crash(std::uint64_t part) {
    constexpr int popular = 20;
    m_quarantine.OnCrash(FingerprintOfPromptPart(part), m_crash, m_now,
                         milliseconds(0), part == kTemplate ? popular : 1);
  }

  TimePoint m_now = kStart;
  RequestQuarantine m_quarantine;
  std::int64_t m_crash = 1;
};

TEST_CASE("an ordinary crash leaves no others to a part that all requests have",
          "[attributed_crash]") {
  Gateway gateway;
  gateway.Wait(seconds(1));
  gateway.EndByItself();
  gateway.Wait(seconds(2));
  for (int i = 0; i < 7; ++i) {
    gateway.EndByCause();
    gateway.Wait(kInterval);
  }
  gateway.Wait(seconds(4));
  CHECK(gateway.IsHeldOff(kCause));
  CHECK_FALSE(gateway.IsHeldOff(kTemplate));
  CHECK(gateway.Quarantine().CrashCount(FingerprintOfPromptPart(kTemplate),
                                        gateway.Now()) == 1);
}

TEST_CASE("a record that arrives after its crash was attributed does not count",
          "[attributed_crash]") {
  Gateway gateway;
  gateway.Wait(seconds(1));
  for (int i = 0; i < 12; ++i) {
    gateway.EndByCause();
    gateway.Wait(kInterval);
    gateway.OnLateRecord();
  }
  gateway.Wait(seconds(4));
  CHECK(gateway.IsHeldOff(kCause));
  CHECK_FALSE(gateway.IsHeldOff(kTemplate));
}

TEST_CASE("crashes of a part that turns out sound count for others again",
          "[attributed_crash]") {
  // The part was in flight in fewer calls than the cause, at the same crashes.
  constexpr std::uint64_t companion = 3;
  RequestQuarantine quarantine({});
  TimePoint now = kStart;
  for (std::int64_t crash = 1; crash <= 3; ++crash, now += kInterval) {
    quarantine.OnCrash(FingerprintOfPromptPart(companion), crash, now);
    quarantine.OnCrash(FingerprintOfPromptPart(kCause), crash, now,
                       milliseconds(0), 3);
  }
  quarantine.JudgePromptParts(now);
  REQUIRE(quarantine.TimeLeft(FingerprintOfPromptPart(companion), now));
  REQUIRE_FALSE(quarantine.TimeLeft(FingerprintOfPromptPart(kCause), now));
  quarantine.OnPartAnswered(companion, now);
  quarantine.JudgePromptParts(now + seconds(1));
  CHECK(quarantine.TimeLeft(FingerprintOfPromptPart(kCause), now));
}

}  // namespace
}  // namespace wasabiwall::coordination
