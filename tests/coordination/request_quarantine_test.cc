#include "wasabiwall/coordination/request_quarantine.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace wasabiwall::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
/// When the first probe of a request that is quarantined at kStart is due.
const TimePoint kProbedAt = kStart + seconds(2);
const std::string kRequest(32, 'a');

TEST_CASE("a request is quarantined after two crashes and announced once",
          "[request_quarantine]") {
  std::vector<std::string> quarantined;
  std::vector<std::string> announced;
  RequestQuarantine quarantine(
      {.on_quarantined =
           [&](const std::string& fingerprint, const QuarantineReason&) {
             quarantined.push_back(fingerprint);
           },
       .announce =
           [&](const std::string& fingerprint) {
             announced.push_back(fingerprint);
           }});
  CHECK(quarantine.OnCrash(kRequest, 1, kStart));
  quarantine.OnCrash(kRequest, 1, kStart);
  CHECK_FALSE(quarantine.TimeLeft(kRequest, kStart));
  quarantine.OnCrash(kRequest, 2, kStart);
  CHECK(quarantine.TimeLeft(kRequest, kStart) == minutes(10));
  quarantine.OnCrash(kRequest, 3, kStart);
  CHECK(quarantined == std::vector<std::string>{kRequest});
  CHECK(announced == std::vector<std::string>{kRequest});
  CHECK(quarantine.Size(kStart) == 1);
}

TEST_CASE("a gateway announces only what ended backend servers through it",
          "[request_quarantine]") {
  int announced = 0;
  RequestQuarantine quarantine(
      {.announce = [&](const std::string&) { ++announced; }});
  SECTION("it saw none of the crashes") {
    quarantine.OnPeerRecords({{kRequest, 1}, {kRequest, 2}}, kStart);
    CHECK(announced == 0);
  }
  SECTION("it saw one of them before the other was known") {
    quarantine.OnCrash(kRequest, 1, kStart);
    quarantine.OnPeerRecords({{kRequest, 2}}, kStart);
    CHECK(announced == 1);
  }
  CHECK(quarantine.TimeLeft(kRequest, kStart));
}

TEST_CASE("a first home announces what ended backend servers elsewhere",
          "[request_quarantine]") {
  int announced = 0;
  RequestQuarantine quarantine(
      {.announce = [&](const std::string&) { ++announced; },
       .is_announcer = [](const std::string&) { return true; }});
  // Each crash was seen by another gateway, neither of which knows the other's.
  quarantine.OnPeerRecords({{kRequest, 1}}, kStart);
  CHECK(announced == 0);
  quarantine.OnPeerRecords({{kRequest, 2}}, kStart);
  CHECK(announced == 1);
}

TEST_CASE("a request that is answered between crashes is not the cause",
          "[request_quarantine]") {
  // Popular requests are in flight at every crash.
  RequestQuarantine quarantine({});
  auto now = kStart;
  for (int crash = 1; crash < 60; crash += 3) {
    quarantine.OnCrash(kRequest, crash, now);
    now += milliseconds(1);
    quarantine.OnAnswered(kRequest, now);
    now += milliseconds(1);
    // Records of crashes before the answer that arrive after it.
    CHECK_FALSE(quarantine.OnCrash(kRequest, crash + 1, now, milliseconds(2)));
    quarantine.OnPeerRecords({{kRequest, crash + 2, milliseconds(2)}}, now);
    quarantine.OnAnnounced(kRequest, 0, now, milliseconds(2));
    CHECK_FALSE(quarantine.TimeLeft(kRequest, now));
    now += seconds(1);
  }
}

TEST_CASE("a request that was answered before is the cause after four crashes",
          "[request_quarantine]") {
  // Guards against a request that workers of an old version have answered and
  // that ends those of a new one for good.
  RequestQuarantine quarantine({});
  quarantine.OnAnswered(kRequest, kStart);
  const auto now = kStart + seconds(10);
  const milliseconds wait{1000};
  SECTION("seen by itself") {
    for (int crash = 1; crash <= 4; ++crash) {
      CHECK_FALSE(quarantine.TimeLeft(kRequest, now));
      CHECK(quarantine.OnCrash(kRequest, crash, now,
                               crash == 1 ? wait : milliseconds(0)));
    }
  }
  SECTION("seen by itself, many at once and one later") {
    // Guards against a popular request that is in flight when most backend
    // servers end at the same moment.
    for (int crash = 1; crash <= 9; ++crash) {
      CHECK(quarantine.OnCrash(kRequest, crash,
                               now - wait + milliseconds(crash)));
      CHECK_FALSE(quarantine.TimeLeft(kRequest, now));
    }
    CHECK(quarantine.OnCrash(kRequest, 10, now + milliseconds(1)));
  }
  SECTION("seen by others") {
    CHECK(quarantine.OnPeerRecords({{kRequest, 1, wait}}, now) ==
          std::vector<std::string>{kRequest});
    quarantine.OnPeerRecords({{kRequest, 2}}, now);
    CHECK_FALSE(quarantine.TimeLeft(kRequest, now));
    quarantine.OnPeerRecords({{kRequest, 3}, {kRequest, 4}}, now);
  }
  SECTION("judged by another gateway") {
    quarantine.OnAnnounced(kRequest, 0, now, seconds(1));
  }
  CHECK(quarantine.TimeLeft(kRequest, now));
  // An answer that another gateway had before the crashes clears nothing.
  quarantine.OnPeerAnswered(kRequest, now - seconds(3));
  CHECK(quarantine.TimeLeft(kRequest, now));
  quarantine.OnPeerAnswered(kRequest, now + seconds(2));
  CHECK_FALSE(quarantine.TimeLeft(kRequest, now + seconds(3)));
}

TEST_CASE("a copy that was on its way shows less than one that was sent later",
          "[request_quarantine]") {
  RequestQuarantine quarantine({});
  quarantine.OnCrash(kRequest, 1, kStart);
  quarantine.OnCrash(kRequest, 2, kStart);
  CHECK(quarantine.TimeLeft(kRequest, kStart));
  quarantine.OnAnswered(kRequest, kStart - milliseconds(1));
  CHECK_FALSE(quarantine.TimeLeft(kRequest, kStart));
  const TimePoint later = kStart + seconds(1);
  quarantine.OnCrash(kRequest, 3, later);
  CHECK_FALSE(quarantine.TimeLeft(kRequest, later));
  quarantine.OnCrash(kRequest, 4, later);
  CHECK(quarantine.TimeLeft(kRequest, later));
}

TEST_CASE("answered requests are forgotten in time", "[request_quarantine]") {
  RequestQuarantine quarantine({}, {.min_answered = 10});
  const auto sent_at = kStart + seconds(1);
  const auto answer = [&](const std::string& request) {
    quarantine.OnAnswered(request, sent_at);
  };
  answer(kRequest);
  for (int i = 0; i < 10; ++i) answer(std::to_string(i));
  CHECK_FALSE(quarantine.OnCrash(kRequest, 1, kStart));
  for (int i = 10; i < 30; ++i) answer(std::to_string(i));
  CHECK(quarantine.OnCrash(kRequest, 1, kStart));
}

TEST_CASE("a quarantine ends when the request has not come for its time",
          "[request_quarantine]") {
  int announced = 0;
  RequestQuarantine quarantine(
      {.announce = [&](const std::string&) { ++announced; }});
  quarantine.OnCrash(kRequest, 1, kStart);
  quarantine.OnCrash(kRequest, 2, kStart);
  for (int i = 1; i <= 20; ++i) {
    quarantine.OnRepeated(kRequest, kStart + minutes(i));
    CHECK(quarantine.TimeLeft(kRequest, kStart + minutes(i)) == minutes(10));
  }
  CHECK(announced == 1 + 20 / 5);
  const auto end = kStart + minutes(30);
  CHECK(quarantine.TimeLeft(kRequest, end - milliseconds(1)));
  CHECK_FALSE(quarantine.TimeLeft(kRequest, end));
  CHECK(quarantine.Size(end) == 0);
  // The records have expired as well; two new crashes quarantine it again.
  quarantine.OnCrash(kRequest, 3, end);
  CHECK_FALSE(quarantine.TimeLeft(kRequest, end));
  quarantine.OnCrash(kRequest, 4, end);
  CHECK(quarantine.TimeLeft(kRequest, end));
  CHECK(announced == 1 + 20 / 5 + 1);
}

TEST_CASE("quarantined requests are bounded", "[request_quarantine]") {
  RequestQuarantine quarantine({}, {.max_quarantined = 10});
  for (int i = 0; i < 100; ++i) {
    const std::string fingerprint(32, static_cast<char>('A' + i % 50));
    quarantine.OnAnnounced(fingerprint, 0, kStart + milliseconds(i));
  }
  CHECK(quarantine.Size(kStart + milliseconds(100)) == 10);
}

/// Gets the request quarantined by two crashes.
void Quarantine(RequestQuarantine* quarantine) {
  quarantine->OnCrash(kRequest, 1, kStart);
  quarantine->OnCrash(kRequest, 2, kStart);
  REQUIRE(quarantine->TimeLeft(kRequest, kStart));
}

TEST_CASE("a quarantined request is probed after a while, then less often",
          "[request_quarantine]") {
  RequestQuarantine quarantine({});
  CHECK_FALSE(quarantine.StartProbeClaim(kRequest, kStart));
  Quarantine(&quarantine);
  TimePoint due = kStart + seconds(2);
  int probes = 0;
  for (const auto interval : {minutes(10), minutes(20), minutes(40)}) {
    CHECK(quarantine.RetryAfter(kRequest, due - seconds(1)) == seconds(1));
    CHECK_FALSE(quarantine.StartProbeClaim(kRequest, due - milliseconds(1)));
    CHECK(quarantine.StartProbeClaim(kRequest, due));
    // The claim is being decided.
    CHECK_FALSE(quarantine.StartProbeClaim(kRequest, due));
    CHECK_FALSE(quarantine.TakeProbe(kRequest));
    quarantine.OnProbeClaimed(kRequest, ++probes, due);
    CHECK(quarantine.TakeProbe(kRequest));
    CHECK_FALSE(quarantine.TakeProbe(kRequest));
    // Callers come back when the outcome is known.
    CHECK(quarantine.RetryAfter(kRequest, due) == seconds(5));
    for (TimePoint now = due; now < due + interval; now += minutes(5)) {
      quarantine.OnRepeated(kRequest, now);
    }
    due += interval;
  }
  // No more than three.
  CHECK_FALSE(quarantine.StartProbeClaim(kRequest, due + minutes(1)));
  CHECK(quarantine.TimeLeft(kRequest, due));
}

TEST_CASE("a probe that met a crash with other suspects is repeated soon",
          "[request_quarantine]") {
  RequestQuarantine quarantine({});
  Quarantine(&quarantine);
  const TimePoint first = kStart + seconds(2);
  // Without a probe there is nothing to repeat.
  quarantine.OnAmbiguousCrash(kRequest, kStart - seconds(10));
  CHECK_FALSE(quarantine.StartProbeClaim(kRequest, kStart));
  quarantine.OnProbeClaimed(kRequest, 1, first);
  REQUIRE(quarantine.TakeProbe(kRequest));
  quarantine.OnCrash(kRequest, 3, first);
  quarantine.OnAmbiguousCrash(kRequest, first);
  const TimePoint due = first + seconds(5);
  CHECK_FALSE(quarantine.StartProbeClaim(kRequest, due - milliseconds(1)));
  REQUIRE(quarantine.StartProbeClaim(kRequest, due));
  quarantine.OnProbeClaimed(kRequest, 2, due);
  SECTION("and its answer releases the request") {
    quarantine.OnAnswered(kRequest, due);
    CHECK_FALSE(quarantine.TimeLeft(kRequest, due));
  }
  SECTION("once") {
    quarantine.OnAmbiguousCrash(kRequest, due);
    CHECK_FALSE(quarantine.StartProbeClaim(kRequest, due + minutes(9)));
  }
}

TEST_CASE("probes are due at other times at each gateway",
          "[request_quarantine]") {
  RequestQuarantine quarantine({.probe_jitter = [] { return seconds(1); }});
  Quarantine(&quarantine);
  CHECK_FALSE(quarantine.StartProbeClaim(kRequest, kStart + seconds(2)));
  CHECK(quarantine.StartProbeClaim(kRequest, kStart + seconds(3)));
  quarantine.OnAnnounced(kRequest, 1, kStart + seconds(3));
  const TimePoint next = kStart + seconds(4) + minutes(10);
  quarantine.OnRepeated(kRequest, next - minutes(5));
  CHECK_FALSE(quarantine.StartProbeClaim(kRequest, next - seconds(1)));
  CHECK(quarantine.StartProbeClaim(kRequest, next));
}

TEST_CASE("a claim that another gateway has won is not made again",
          "[request_quarantine]") {
  RequestQuarantine quarantine({});
  Quarantine(&quarantine);
  const TimePoint due = kStart + seconds(2);
  SECTION("lost without news of the other's") {
    CHECK(quarantine.StartProbeClaim(kRequest, due));
    CHECK(quarantine.StartProbeClaim(kRequest, due + seconds(2)));
  }
  SECTION("announced by the other") {
    quarantine.OnAnnounced(kRequest, 1, due);
    CHECK_FALSE(quarantine.StartProbeClaim(kRequest, due + seconds(2)));
    // An announcement from before it changes nothing.
    quarantine.OnAnnounced(kRequest, 0, due + seconds(3));
    CHECK_FALSE(quarantine.StartProbeClaim(kRequest, due + seconds(9)));
  }
}

TEST_CASE("a claim that is read before its answer counts once",
          "[request_quarantine]") {
  RequestQuarantine quarantine({});
  Quarantine(&quarantine);
  const TimePoint due = kStart + seconds(2);
  CHECK(quarantine.StartProbeClaim(kRequest, due));
  quarantine.OnAnnounced(kRequest, 1, due);
  quarantine.OnProbeClaimed(kRequest, 1, due);
  quarantine.OnRepeated(kRequest, due + minutes(5));
  CHECK(quarantine.StartProbeClaim(kRequest, due + minutes(10)));
}

TEST_CASE("the time between probes grows although the entry was lost",
          "[request_quarantine]") {
  RequestQuarantine quarantine({});
  Quarantine(&quarantine);
  TimePoint now = kStart + seconds(2);
  quarantine.OnProbeClaimed(kRequest, 1, now);
  now += minutes(5);
  quarantine.OnRepeated(kRequest, now);
  now += minutes(5);
  // Another gateway has announced the request anew, without its probes.
  quarantine.OnAnnounced(kRequest, 0, now);
  CHECK(quarantine.StartProbeClaim(kRequest, now));
  quarantine.OnProbeClaimed(kRequest, 1, now);
  quarantine.OnRepeated(kRequest, now + minutes(9));
  CHECK_FALSE(quarantine.StartProbeClaim(kRequest, now + minutes(18)));
}

TEST_CASE("a probe that did not run is left to the next repeat",
          "[request_quarantine]") {
  RequestQuarantine quarantine({});
  Quarantine(&quarantine);
  quarantine.OnProbeClaimed(kRequest, 1, kStart + seconds(2));
  CHECK(quarantine.TakeProbe(kRequest));
  quarantine.ReturnProbe(kRequest);
  CHECK(quarantine.TakeProbe(kRequest));
}

TEST_CASE("the answer of a probe releases the request at all gateways",
          "[request_quarantine]") {
  int announced = 0;
  int released = 0;
  RequestQuarantine quarantine(
      {.on_released = [&](const std::string&) { ++released; },
       .announce_answered = [&](const std::string&) { ++announced; }});
  Quarantine(&quarantine);
  SECTION("at the gateway that ran it") {
    quarantine.OnAnswered(kRequest, kProbedAt);
    quarantine.OnAnswered(kRequest, kProbedAt);
    CHECK(announced == 1);
  }
  SECTION("at one that saw a crash and is told by a peer") {
    quarantine.OnPeerAnswered(kRequest, kProbedAt);
    CHECK(announced == 1);
  }
  SECTION("at those that read of it") {
    quarantine.OnAnsweredAnnounced(kRequest, kProbedAt);
    CHECK(announced == 0);
  }
  CHECK(released == 1);
  CHECK_FALSE(quarantine.TimeLeft(kRequest, kStart));
  // Records that were on their way do not quarantine it again.
  quarantine.OnPeerRecords({{kRequest, 4}, {kRequest, 5}}, kStart);
  quarantine.OnAnnounced(kRequest, 0, kStart);
  CHECK_FALSE(quarantine.TimeLeft(kRequest, kStart));
}

TEST_CASE("a first home that has answered a request objects to its quarantine",
          "[request_quarantine]") {
  bool is_first_home = true;
  int announced = 0;
  RequestQuarantine quarantine(
      {.announce_answered = [&](const std::string&) { ++announced; },
       .is_announcer = [&](const std::string&) { return is_first_home; }});
  quarantine.OnAnswered(kRequest, kStart + milliseconds(1));
  CHECK(announced == 0);
  quarantine.OnAnnounced(kRequest, 0, kStart);
  CHECK(announced == 1);
  is_first_home = false;
  quarantine.OnAnnounced(kRequest, 0, kStart);
  CHECK(announced == 1);
}

}  // namespace
}  // namespace wasabiwall::coordination
