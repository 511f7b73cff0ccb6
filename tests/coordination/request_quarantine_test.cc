#include "wasabiwall/coordination/request_quarantine.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "wasabiwall/coordination/rendezvous_homes.h"

namespace wasabiwall::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
const std::string kRequest(32, 'a');

TEST_CASE("a request is quarantined after two crashes and announced once") {
  std::vector<std::string> quarantined;
  std::vector<std::string> announced;
  RequestQuarantine quarantine(
      {.on_quarantined =
           [&](const std::string& fingerprint, const char*) {
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

TEST_CASE("a gateway announces only what ended backend servers through it") {
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

TEST_CASE("a first home announces what ended backend servers elsewhere") {
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

TEST_CASE("an answer shows that a request is not the cause") {
  RequestQuarantine quarantine({});
  quarantine.OnCrash(kRequest, 1, kStart);
  SECTION("between two crashes") { quarantine.OnAnswered(kRequest); }
  SECTION("of a copy that was on its way") {
    quarantine.OnCrash(kRequest, 2, kStart);
    quarantine.OnAnswered(kRequest);
  }
  // Popular requests are in flight at every crash.
  CHECK_FALSE(quarantine.OnCrash(kRequest, 3, kStart));
  quarantine.OnPeerRecords({{kRequest, 4}, {kRequest, 5}}, kStart);
  quarantine.OnAnnounced(kRequest, kStart);
  CHECK_FALSE(quarantine.TimeLeft(kRequest, kStart));
}

TEST_CASE("answered requests are forgotten in time") {
  RequestQuarantine quarantine({}, {.min_answered = 10});
  quarantine.OnAnswered(kRequest);
  for (int i = 0; i < 10; ++i) quarantine.OnAnswered(std::to_string(i));
  CHECK_FALSE(quarantine.OnCrash(kRequest, 1, kStart));
  for (int i = 10; i < 30; ++i) quarantine.OnAnswered(std::to_string(i));
  CHECK(quarantine.OnCrash(kRequest, 1, kStart));
}

TEST_CASE("a quarantine ends when the request has not come for its time") {
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

TEST_CASE("quarantined requests are bounded") {
  RequestQuarantine quarantine({}, {.max_quarantined = 10});
  for (int i = 0; i < 100; ++i) {
    const std::string fingerprint(32, static_cast<char>('A' + i % 50));
    quarantine.OnAnnounced(fingerprint, kStart + milliseconds(i));
  }
  CHECK(quarantine.Size(kStart + milliseconds(100)) == 10);
}

/// Backend servers that may end after the time in which the third is known.
constexpr std::size_t kMostEndedLate = 3;

/// Gateways on virtual time through which callers repeat one request that ends
/// each backend server that runs it. Messages between gateways may be lost;
/// announcements reach every gateway after the time that a change in the store
/// takes.
class QuarantineFleet {
 public:
  QuarantineFleet(int gateways, double loss, bool domains_are_cut,
                  unsigned seed)
      : m_loss(loss), m_domains_are_cut(domains_are_cut), m_random(seed) {
    for (int i = 0; i < gateways; ++i) m_members["g" + std::to_string(i)] = "a";
    for (const auto& [name, address] : m_members) Restart(name);
  }

  /// Repeats the request at random gateways.
  /// @return Times at which backend servers ended.
  std::vector<TimePoint> Run(seconds time, milliseconds longest_pause,
                             double restart_share) {
    std::vector<TimePoint> crashes;
    for (const auto end = m_now + time; m_now < end;) {
      m_now += milliseconds(std::uniform_int_distribution<std::int64_t>(
          1, longest_pause.count())(m_random));
      DeliverAnnouncements();
      const std::string name =
          "g" + std::to_string(m_random() % m_members.size());
      if (Chance(restart_share)) Restart(name);
      if (m_gateways.at(name)->TimeLeft(kRequest, m_now)) continue;
      crashes.push_back(m_now);
      OnCrash(name, static_cast<std::int64_t>(crashes.size()));
    }
    return crashes;
  }

 private:
  static constexpr milliseconds kStoreTime{1500};

  bool Chance(double share) {
    return std::bernoulli_distribution(share)(m_random);
  }

  static int DomainOf(const std::string& name) {
    return std::stoi(name.substr(1)) % 3;
  }

  void Restart(const std::string& name) {
    m_gateways[name] =
        std::make_unique<RequestQuarantine>(RequestQuarantine::Hooks{
            .announce =
                [this](const std::string&) { m_announced_at.push_back(m_now); },
            .is_announcer =
                [this, name](const std::string&) {
                  constexpr std::size_t announcers = 3;
                  const auto homes = RendezvousHomes(m_members, 7, announcers);
                  return std::ranges::find(homes, name) != homes.end();
                }});
    if (m_is_in_store) m_gateways[name]->OnAnnounced(kRequest, m_now);
  }

  void OnCrash(const std::string& name, std::int64_t crash) {
    if (!m_gateways.at(name)->OnCrash(kRequest, crash, m_now)) return;
    constexpr std::size_t homes = 32;
    for (const std::string& home : RendezvousHomes(m_members, 7, homes)) {
      const bool is_cut = m_domains_are_cut && DomainOf(home) != DomainOf(name);
      if (home == name || is_cut || Chance(m_loss)) continue;
      m_gateways.at(home)->OnPeerRecords({{kRequest, crash}}, m_now);
    }
  }

  void DeliverAnnouncements() {
    const auto due = std::erase_if(m_announced_at, [this](TimePoint time) {
      return m_now - time >= kStoreTime;
    });
    if (due == 0) return;
    m_is_in_store = true;
    for (const auto& [name, gateway] : m_gateways) {
      gateway->OnAnnounced(kRequest, m_now);
    }
  }

  double m_loss;
  bool m_domains_are_cut;
  std::mt19937 m_random;
  TimePoint m_now = kStart;
  std::map<std::string, std::string> m_members;
  std::map<std::string, std::unique_ptr<RequestQuarantine>> m_gateways;
  std::vector<TimePoint> m_announced_at;
  bool m_is_in_store = false;
};

/// @return Backend servers that ended later than the time in which gateways
/// must know of the third one.
std::size_t EndedLate(const std::vector<TimePoint>& crashes) {
  constexpr seconds known_after{3};
  constexpr std::size_t third = 2;
  if (crashes.size() <= third) return 0;
  return static_cast<std::size_t>(std::count_if(
      crashes.begin(), crashes.end(),
      [&](TimePoint time) { return time - crashes[third] > known_after; }));
}

TEST_CASE("gateways that reach each other let two backend servers end") {
  for (const int gateways : {1, 4, 21, 32}) {
    QuarantineFleet fleet(gateways, 0, false, 1);
    CHECK(fleet.Run(seconds(60), milliseconds(250), 0).size() == 2);
  }
}

TEST_CASE("a request that ends backend servers is held off in every fleet",
          "[quarantine][fuzz]") {
  rc::prop("lost messages, restarts", [] {
    QuarantineFleet fleet(*rc::gen::inRange(1, 101), 0.1, false,
                          *rc::gen::arbitrary<unsigned>());
    RC_ASSERT(EndedLate(fleet.Run(seconds(60), milliseconds(250), 0.05)) <=
              kMostEndedLate);
  });
  rc::prop("failure domains cut off from each other, slow repeats", [] {
    QuarantineFleet fleet(*rc::gen::inRange(3, 22), 0.02, true,
                          *rc::gen::arbitrary<unsigned>());
    const milliseconds longest_pause(*rc::gen::inRange(50, 5000));
    RC_ASSERT(EndedLate(fleet.Run(seconds(120), longest_pause, 0)) <=
              kMostEndedLate);
  });
}

}  // namespace
}  // namespace wasabiwall::coordination
