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

// A judgement that was due between the record of a crash and the word of
// another gateway, some milliseconds later, held off the part of all requests.
TEST_CASE("a verdict waits for what other gateways say of the last crash",
          "[attributed_crash]") {
  const std::string cause = FingerprintOfPromptPart(kCause);
  const std::string shared = FingerprintOfPromptPart(kTemplate);
  RequestQuarantine quarantine({});
  TimePoint now = kStart;
  constexpr std::int64_t last = 3;
  for (std::int64_t crash = 1; crash < last; ++crash, now += kInterval) {
    quarantine.OnCrash(shared, crash, now);
    quarantine.OnCauseFound(cause, {crash}, now);
  }
  quarantine.OnCrash(shared, last, now);
  const bool is_told = GENERATE(true, false);
  CAPTURE(is_told);
  const auto delay = milliseconds(GENERATE(1, 5, 99));
  CAPTURE(delay.count());
  quarantine.JudgePromptParts(now + delay);
  CHECK_FALSE(quarantine.TimeLeft(shared, now + delay));
  if (is_told) {
    quarantine.OnCauseFound(cause, {1, 2, last}, now + delay);
  }
  // A cause that leaves a crash unexplained may have been taken wrongly.
  const TimePoint settled = now + milliseconds(100);
  quarantine.JudgePromptParts(settled);
  CHECK(quarantine.TimeLeft(shared, settled).has_value() == !is_told);
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
                       milliseconds(0), 2);
  }
  quarantine.JudgePromptParts(now);
  REQUIRE(quarantine.TimeLeft(FingerprintOfPromptPart(companion), now));
  REQUIRE_FALSE(quarantine.TimeLeft(FingerprintOfPromptPart(kCause), now));
  quarantine.OnPartAnswered(companion, now);
  quarantine.JudgePromptParts(now + seconds(1));
  CHECK(quarantine.TimeLeft(FingerprintOfPromptPart(kCause), now));
}

// A gateway that is no judge of its likely cause forgot the evidence against
// the others for good.
TEST_CASE("what no judge confirms explains crashes for three seconds only",
          "[attributed_crash]") {
  const std::string cause = FingerprintOfPromptPart(kCause);
  const std::string other = FingerprintOfPromptPart(kTemplate);
  RequestQuarantine quarantine(
      {.is_judge = [&](const std::string& part) { return part != cause; }});
  TimePoint now = kStart;
  for (std::int64_t crash = 1; crash <= 3; ++crash, now += kInterval) {
    quarantine.OnCrash(cause, crash, now);
    quarantine.OnCrash(other, crash, now, milliseconds(0), 2);
  }
  quarantine.JudgePromptParts(now);
  CHECK_FALSE(quarantine.TimeLeft(cause, now));
  CHECK(quarantine.CrashCount(other, now) == 0);
  SECTION("if nothing comes") {
    CHECK(quarantine.CrashCount(other, now + seconds(3)) == 3);
  }
  SECTION("longer if the judges confirm it") {
    quarantine.OnAnnounced(cause, 0, now);
    quarantine.OnCauseFound(cause, {1, 2, 3}, now);
    CHECK(quarantine.CrashCount(other, now + seconds(3)) == 0);
  }
}

// A part that was held off wrongly stayed so until a long stream was complete.
TEST_CASE("an established answer to a probe releases a part at its judge",
          "[attributed_crash]") {
  int announced = 0;
  RequestQuarantine quarantine(
      {.announce_answered = [&](const std::string&) { ++announced; }});
  const std::string part = FingerprintOfPromptPart(kCause);
  TimePoint now = kStart;
  for (std::int64_t crash = 1; crash <= 3; ++crash, now += kInterval) {
    quarantine.OnCrash(part, crash, now);
  }
  quarantine.JudgePromptParts(now);
  REQUIRE(quarantine.TimeLeft(part, now));
  SECTION("that was sent before the crashes says nothing") {
    quarantine.OnPartEstablished(kCause, kStart - seconds(1));
    CHECK(quarantine.TimeLeft(part, now));
  }
  SECTION("seen here") {
    quarantine.OnPartEstablished(kCause, now);
    CHECK_FALSE(quarantine.TimeLeft(part, now));
    CHECK(announced == 1);
  }
  SECTION("seen by another gateway") {
    quarantine.OnPeerEstablished(part, now);
    CHECK_FALSE(quarantine.TimeLeft(part, now));
    CHECK(announced == 1);
  }
}

TEST_CASE("an established answer does not release a part of last resort",
          "[attributed_crash]") {
  RequestQuarantine quarantine({});
  const std::string part = FingerprintOfPromptPart(kCause);
  TimePoint now = kStart;
  for (std::int64_t crash = 1; crash <= 8; ++crash, now += kInterval) {
    quarantine.OnCrash(part, crash, now, milliseconds(0), 0);
  }
  quarantine.JudgePromptParts(now);
  REQUIRE(quarantine.TimeLeft(part, now));
  quarantine.OnPartEstablished(kCause, now);
  CHECK(quarantine.TimeLeft(part, now));
}

}  // namespace
}  // namespace wasabiwall::coordination
