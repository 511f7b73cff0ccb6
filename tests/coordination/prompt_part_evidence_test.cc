// Which part of prompts is taken for the cause of crashes.
#include "wasabiwall/coordination/prompt_part_evidence.h"

#include <catch2/catch.hpp>

#include "wasabiwall/coordination/request_fingerprint.h"

namespace wasabiwall::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
constexpr std::uint64_t kPart = 7;

/// Records crashes of a part at regular intervals.
/// @return Time of the last one.
TimePoint Crash(PromptPartEvidence* evidence, int count, milliseconds interval,
                TimePoint first = kStart, std::uint64_t part = kPart) {
  TimePoint at = first;
  for (int i = 0; i < count; ++i) {
    at = first + i * interval;
    evidence->OnCrash(part, first.time_since_epoch().count() + i + 1, at, at);
  }
  return at;
}

TEST_CASE("three crashes without an answer make a part the cause",
          "[prompt_part_evidence]") {
  PromptPartEvidence evidence;
  CHECK_FALSE(evidence.IsSuspect(kPart, kStart));
  CHECK_FALSE(
      evidence.IsSuspect(kPart, Crash(&evidence, 2, milliseconds(400))));
  const auto last = Crash(&evidence, 3, milliseconds(400));
  CHECK(evidence.IsSuspect(kPart, last));
  REQUIRE(evidence.LikelyCauses(last).size() == 1);
  CHECK(evidence.LikelyCauses(last).front().first_crash_at == kStart);
  CHECK_FALSE(evidence.IsSuspect(kPart, last + minutes(10)));
}

TEST_CASE("a crash that is heard of twice counts once",
          "[prompt_part_evidence]") {
  PromptPartEvidence evidence;
  for (int i = 0; i < 5; ++i) {
    const auto at = kStart + i * seconds(1);
    evidence.OnCrash(kPart, 1, at, at);
  }
  CHECK(evidence.CrashesOf(kPart, kStart + seconds(5)).size() == 1);
}

TEST_CASE("backend servers that end at the same moment count as one crash",
          "[prompt_part_evidence]") {
  PromptPartEvidence evidence;
  const auto last = Crash(&evidence, 8, milliseconds(10));
  CHECK_FALSE(evidence.IsSuspect(kPart, last));
}

TEST_CASE("the crashes of a call and of its repeat are two",
          "[prompt_part_evidence]") {
  // Guards against a part that an old version has answered and that ends two
  // backend servers with each request: it took ten crashes to be held off.
  PromptPartEvidence evidence;
  evidence.OnAnswered(kPart, kStart - seconds(10));
  const auto crash_pair = [&](int crash, TimePoint at) {
    constexpr milliseconds answer_begins{8};
    evidence.OnCrash(kPart, crash, at, at, 1, at - answer_begins);
    const TimePoint repeat_ends = at + answer_begins;
    evidence.OnCrash(kPart, crash + 1, repeat_ends, repeat_ends, 1, at);
  };
  const TimePoint third = kStart + seconds(8);
  crash_pair(1, kStart);
  crash_pair(3, kStart + seconds(4));
  CHECK_FALSE(evidence.IsSuspect(kPart, third - milliseconds(1)));
  crash_pair(5, third);
  CHECK(evidence.IsSuspect(kPart, third + milliseconds(20)));
}

TEST_CASE("calls that were sent before servers end together are one crash",
          "[prompt_part_evidence]") {
  PromptPartEvidence evidence;
  for (int crash = 1; crash <= 8; ++crash) {
    const TimePoint at = kStart + milliseconds(5 * crash);
    evidence.OnCrash(kPart, crash, at, at, 1, kStart - milliseconds(20));
  }
  CHECK_FALSE(evidence.IsSuspect(kPart, kStart + seconds(1)));
}

TEST_CASE("an answer to a request sent after a crash clears the part of it",
          "[prompt_part_evidence]") {
  PromptPartEvidence evidence;
  Crash(&evidence, 2, milliseconds(400));
  SECTION("sent after both crashes") {
    CHECK(evidence.OnAnswered(kPart, kStart + milliseconds(401)));
    CHECK(evidence.Size() == 0);
  }
  SECTION("sent between them") {
    CHECK(evidence.OnAnswered(kPart, kStart + milliseconds(1)));
    CHECK(evidence.CrashesOf(kPart, kStart).size() == 1);
  }
  SECTION("sent before them") {
    CHECK_FALSE(evidence.OnAnswered(kPart, kStart));
    CHECK(evidence.CrashesOf(kPart, kStart).size() == 2);
  }
}

TEST_CASE("a record that arrives after such an answer does not count",
          "[prompt_part_evidence]") {
  PromptPartEvidence evidence;
  evidence.OnAnswered(kPart, kStart + seconds(1));
  evidence.OnCrash(kPart, 1, kStart, kStart + seconds(2));
  CHECK(evidence.Size() == 0);
}

TEST_CASE("a part that was answered before is a suspect after five crashes",
          "[prompt_part_evidence]") {
  PromptPartEvidence evidence;
  for (int i = 0; i < 1000; ++i) {
    evidence.OnAnswered(kPart, kStart - seconds(1000 - i));
  }
  const auto wait = seconds(2);
  SECTION("and two seconds without an answer") {
    Crash(&evidence, 5, milliseconds(200));
    CHECK_FALSE(evidence.IsSuspect(kPart, kStart + wait - milliseconds(1)));
    CHECK(evidence.IsJudgementOpen(kStart + wait));
    CHECK(evidence.IsSuspect(kPart, kStart + wait));
  }
  SECTION("not after four") {
    Crash(&evidence, 4, milliseconds(700));
    CHECK_FALSE(evidence.IsSuspect(kPart, kStart + wait));
  }
  SECTION("not if a request that was sent meanwhile is answered") {
    Crash(&evidence, 5, milliseconds(200));
    evidence.OnAnswered(kPart, kStart + seconds(1));
    CHECK_FALSE(evidence.IsSuspect(kPart, kStart + wait));
  }
}

TEST_CASE("the likeliest cause was in flight at most crashes, in fewest calls",
          "[prompt_part_evidence]") {
  constexpr std::uint64_t other = 8;
  constexpr std::uint64_t popular = 9;
  PromptPartEvidence evidence;
  TimePoint at = kStart;
  for (int crash = 1; crash <= 8; ++crash, at += milliseconds(400)) {
    evidence.OnCrash(kPart, crash, at, at);
    evidence.OnCrash(popular, crash, at, at, 3);
    if (crash % 2 == 0) evidence.OnCrash(other, crash, at, at);
  }
  for (const std::uint64_t part : {kPart, other, popular}) {
    CHECK(evidence.IsSuspect(part, at));
  }
  REQUIRE(evidence.LikelyCauses(at).size() == 1);
  CHECK(evidence.LikelyCauses(at).front().part == kPart);
}

TEST_CASE("parts in flight in many calls are suspects later",
          "[prompt_part_evidence]") {
  PromptPartEvidence evidence;
  for (int crash = 0; crash < 3; ++crash) {
    const auto at = kStart + crash * milliseconds(150);
    // Reports of several gateways add up.
    for (int i = 0; i < 4; ++i) evidence.OnCrash(kPart, crash, at, at);
  }
  CHECK_FALSE(evidence.IsSuspect(kPart, kStart + milliseconds(499)));
  CHECK(evidence.IsSuspect(kPart, kStart + milliseconds(500)));
}

TEST_CASE("a crash that another part explains leaves the others",
          "[prompt_part_evidence]") {
  constexpr std::uint64_t other = 8;
  PromptPartEvidence evidence;
  const auto last = Crash(&evidence, 4, milliseconds(400));
  const auto crashes = evidence.CrashesOf(kPart, last);
  // A part that explains too few may not be their cause.
  evidence.Explain(crashes[0], other);
  CHECK(evidence.IsSuspect(kPart, last));
  evidence.Explain(crashes[1], other);
  CHECK(evidence.IsSuspect(kPart, last));
  evidence.Explain(crashes[2], other);
  CHECK(evidence.CrashesOf(kPart, last).size() == 1);
  CHECK_FALSE(evidence.IsSuspect(kPart, last));
  // A record that arrives later does not count either.
  evidence.OnCrash(kPart, crashes[0], kStart, last);
  CHECK(evidence.CrashesOf(kPart, last).size() == 1);
  SECTION("until the other part turns out to be sound") {
    evidence.Withdraw(other);
    CHECK(evidence.IsSuspect(kPart, last));
    const auto later = last + minutes(1);
    CHECK_FALSE(evidence.IsJudgementOpen(later));
    evidence.StartJudgement(later);
    CHECK(evidence.IsJudgementOpen(later));
  }
}

// The judgement after a late record came before the record was settled, and no
// other one followed.
TEST_CASE("a judgement is open until a late record is settled",
          "[prompt_part_evidence]") {
  PromptPartEvidence evidence;
  const TimePoint now = kStart + minutes(1);
  evidence.OnCrash(kPart, 1, kStart, now);
  CHECK(evidence.IsJudgementOpen(now + milliseconds(99)));
  CHECK_FALSE(evidence.IsJudgementOpen(now + milliseconds(100)));
}

// Parts of long streams were convicted before any of the streams was complete.
TEST_CASE("an established answer makes a part a suspect of last resort",
          "[prompt_part_evidence]") {
  PromptPartEvidence evidence;
  const auto last = Crash(&evidence, 3, milliseconds(400));
  SECTION("if the request was sent after the crashes") {
    CHECK(evidence.OnEstablished(kPart, last + milliseconds(1)));
    CHECK_FALSE(evidence.OnEstablished(kPart, last + milliseconds(2)));
    CHECK_FALSE(evidence.IsSuspect(kPart, last + seconds(1)));
    // Three more since then are enough.
    const auto again = last + seconds(1);
    CHECK(evidence.IsSuspect(kPart,
                             Crash(&evidence, 3, milliseconds(400), again)));
  }
  SECTION("not if it was sent before them") {
    evidence.OnEstablished(kPart, kStart);
    CHECK(evidence.IsSuspect(kPart, last));
  }
}

TEST_CASE("eight crashes convict a part whose answers are established",
          "[prompt_part_evidence]") {
  PromptPartEvidence evidence;
  TimePoint at = kStart;
  for (int crash = 1; crash <= 8; ++crash, at += milliseconds(400)) {
    CHECK(evidence.LikelyCauses(at).empty());
    evidence.OnCrash(kPart, crash, at, at, 0);
  }
  REQUIRE(evidence.LikelyCauses(at).size() == 1);
  CHECK(evidence.LikelyCauses(at).front().is_last_resort);
}

TEST_CASE("new parts at each crash do not displace the cause",
          "[prompt_part_evidence]") {
  PromptPartEvidence evidence({.max_parts = 1000});
  std::uint64_t next = 1000;
  TimePoint now = kStart;
  for (int crash = 1; crash <= 20; ++crash) {
    now += milliseconds(400);
    evidence.OnCrash(kPart, crash, now, now);
    for (int i = 0; i < 2000; ++i) evidence.OnCrash(next++, crash, now, now);
    CHECK(evidence.Size() <= 1000);
  }
  CHECK(evidence.IsSuspect(kPart, now));
}

TEST_CASE("answered parts are forgotten in time", "[prompt_part_evidence]") {
  PromptPartEvidence evidence({.min_answered = 10});
  evidence.OnAnswered(kPart, kStart);
  for (std::uint64_t i = 0; i < 10; ++i) evidence.OnAnswered(100 + i, kStart);
  CHECK(evidence.AnsweredRequestSentAt(kPart) == kStart);
  for (std::uint64_t i = 0; i < 20; ++i) evidence.OnAnswered(200 + i, kStart);
  CHECK_FALSE(evidence.AnsweredRequestSentAt(kPart));
}

TEST_CASE("fingerprints of prompt parts name the part",
          "[prompt_part_evidence]") {
  for (const std::uint64_t part : {0UL, 1UL, 0xabcdefUL, ~0UL}) {
    const std::string fingerprint = FingerprintOfPromptPart(part);
    CHECK(fingerprint.size() == FingerprintOf({"x"}).size());
    CHECK(PromptPartOf(fingerprint) == part);
  }
  CHECK_FALSE(PromptPartOf(FingerprintOf({"x"})));
  CHECK_FALSE(PromptPartOf("prompt-part-0000gggggggggggggggg"));
}

}  // namespace
}  // namespace wasabiwall::coordination
