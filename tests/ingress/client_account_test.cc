// Who is evicted when clients make a gateway hold too much.
#include "wasabiwall/ingress/client_account.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

#include "wasabiwall/ingress/log_allowance.h"
#include "wasabiwall/ingress/read_pace.h"

namespace wasabiwall::ingress {
namespace {

using coordination::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr AccountLimits kLimits{.total = 1000, .reserve = 250, .little = 20};

/// A client whose eviction frees what it holds.
struct Client {
  Client(ClientAccount* account, std::size_t bytes, TimePoint since)
      : entry(account, [this](EvictionReason) {
          evicted = true;
          entry.Hold(0);
        }) {
    entry.Hold(bytes);
    entry.BeginWait(since);
  }

  bool evicted = false;
  ClientAccount::Entry entry;
};

TEST_CASE("a client that has held much for long goes before others") {
  const TimePoint now{seconds(100)};
  ClientAccount account(kLimits);
  Client long_held(&account, 400, now - seconds(3));
  Client short_held(&account, 400, now - milliseconds(100));
  Client small(&account, 10, now - seconds(10));
  CHECK(account.MakeRoom(&short_held.entry, now));
  Client last(&account, 500, now);
  CHECK(account.MakeRoom(&last.entry, now));
  CHECK(long_held.evicted);
  CHECK_FALSE(short_held.evicted);
  CHECK_FALSE(small.evicted);
  CHECK(account.Evicted() == 1);
}

TEST_CASE("a client that makes progress is spared") {
  const TimePoint now{seconds(100)};
  ClientAccount account(kLimits);
  Client moving(&account, 400, now - seconds(2));
  moving.entry.OnProgress(1U << 20U);
  Client stalled(&account, 390, now - seconds(1));
  Client last(&account, 380, now);
  CHECK(account.MakeRoom(&last.entry, now));
  CHECK(stalled.evicted);
  CHECK_FALSE(moving.evicted);
}

TEST_CASE("one legal request larger than the account is kept while alone") {
  const TimePoint now{seconds(100)};
  ClientAccount account(kLimits);
  Client huge(&account, 5000, now - seconds(2));
  CHECK(account.MakeRoom(&huge.entry, now));
  Client small(&account, 10, now);
  CHECK(account.MakeRoom(&small.entry, now));
  CHECK_FALSE(huge.evicted);
}

TEST_CASE("clients with much leave the reserve to those with little") {
  const TimePoint now{seconds(100)};
  ClientAccount account(kLimits);
  // Calls in progress cannot be evicted.
  std::deque<Client> calls;
  for (int i = 0; i < 8; ++i) calls.emplace_back(&account, 100, now);
  for (Client& call : calls) call.entry.EndWait();
  Client much(&account, 100, now);
  much.entry.EndWait();
  CHECK_FALSE(account.MakeRoom(&much.entry, now));
  much.entry.Hold(0);
  Client little(&account, 20, now);
  little.entry.EndWait();
  CHECK(account.MakeRoom(&little.entry, now));
}

TEST_CASE("room for connections is made by the ones that wait for longest") {
  const TimePoint now{seconds(100)};
  ClientAccount account(kLimits);
  Client oldest(&account, 1, now - seconds(3));
  Client older(&account, 900, now - seconds(2));
  Client young(&account, 1, now - milliseconds(10));
  CHECK(account.EvictSlowest(1, now, seconds(1)) == 1);
  CHECK(oldest.evicted);
  CHECK(account.EvictSlowest(9, now, seconds(1)) == 1);
  CHECK(older.evicted);
  CHECK_FALSE(young.evicted);
}

TEST_CASE("an account never stays over its limits while someone can go") {
  std::mt19937_64 random(20261206);
  for (int round = 0; round < 200; ++round) {
    ClientAccount account(kLimits);
    std::deque<Client> clients;
    TimePoint now{seconds(100)};
    for (int step = 0; step < 200; ++step) {
      now += milliseconds(random() % 50);
      if (clients.size() < 30) clients.emplace_back(&account, 0, now);
      Client& client = clients[random() % clients.size()];
      const bool grows = random() % 3 != 0;
      client.entry.Hold(grows ? client.entry.Held() + random() % 200 : 0);
      if (!client.entry.Waits()) client.entry.BeginWait(now);
      client.entry.OnProgress(random() % 200);
      // One that must go frees what it holds.
      if (!account.MakeRoom(&client.entry, now)) client.entry.Hold(0);
      CHECK_FALSE(account.IsOver());
    }
    std::size_t held = 0;
    for (const Client& client : clients) held += client.entry.Held();
    CHECK(held == account.Used());
  }
}

TEST_CASE("a reader is too slow only after a whole grace period") {
  const ReadPaceLimits limits{.min_bytes_per_s = 100, .grace = seconds(10)};
  TimePoint now{seconds(100)};
  ReadPace slow;
  ReadPace steady;
  ReadPace pausing;
  CHECK_FALSE(slow.IsTooSlow(0, limits, now));
  CHECK_FALSE(steady.IsTooSlow(0, limits, now));
  CHECK_FALSE(pausing.IsTooSlow(0, limits, now));
  for (int second = 1; second < 10; ++second) {
    now += seconds(1);
    CHECK_FALSE(slow.IsTooSlow(99, limits, now));
    CHECK_FALSE(steady.IsTooSlow(100, limits, now));
    CHECK_FALSE(pausing.IsTooSlow(second == 9 ? 1000 : 0, limits, now));
  }
  now += seconds(1);
  CHECK(slow.IsTooSlow(99, limits, now));
  CHECK_FALSE(steady.IsTooSlow(100, limits, now));
  CHECK_FALSE(pausing.IsTooSlow(0, limits, now));
}

TEST_CASE("log lines about single clients are bounded and counted") {
  LogAllowance allowance;
  const TimePoint now{seconds(100)};
  int written = 0;
  for (int i = 0; i < 100; ++i) written += allowance.Take(now) ? 1 : 0;
  CHECK(written == 5);
  CHECK(allowance.TakeOmitted() == 95);
  CHECK(allowance.TakeOmitted() == 0);
  CHECK(allowance.Take(now + seconds(1)));
}

}  // namespace
}  // namespace wasabiwall::ingress
