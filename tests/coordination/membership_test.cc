#include "wasabiwall/coordination/membership.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace wasabiwall::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kFirst{1000};
constexpr milliseconds kLongest{16000};
const state::BackendServerId kServer("a");
constexpr TimePoint kStart{seconds(100)};

/// Time for which the server is suspect after a failure now.
milliseconds FailAt(Membership* membership, TimePoint now) {
  membership->OnFailure(kServer, now);
  milliseconds time{0};
  while (membership->Suspect(kServer, now + time)) time += milliseconds(500);
  return time;
}

}  // namespace

TEST_CASE("each further failure doubles the time of suspicion",
          "[membership]") {
  Membership membership(kFirst);
  for (const int expected : {1000, 2000, 4000, 8000, 16000, 16000}) {
    CHECK(FailAt(&membership, kStart) == milliseconds(expected));
  }
}

TEST_CASE("one that comes and goes is not trusted at once", "[membership]") {
  Membership membership(kFirst);
  FailAt(&membership, kStart);
  membership.OnSuccess(kServer);
  CHECK_FALSE(membership.Suspect(kServer, kStart));
  CHECK(FailAt(&membership, kStart + seconds(1)) == 2 * kFirst);
  CHECK(FailAt(&membership, kStart + seconds(200)) == kFirst);
}

TEST_CASE("a VM missing from the list is suspect, a leaving one is told",
          "[membership]") {
  Membership membership(kFirst);
  CHECK_FALSE(membership.Suspect(kServer, kStart));
  membership.SetVmList({});
  CHECK(membership.Suspect(kServer, kStart));
  CHECK_FALSE(membership.Leaving(kServer));
  membership.SetVmList({{kServer, VmState::kLeaving}});
  CHECK_FALSE(membership.Suspect(kServer, kStart));
  CHECK(membership.Leaving(kServer));
}

TEST_CASE("suspicion follows any failure, is bounded and ends",
          "[membership][fuzz]") {
  rc::prop("between the shortest and the longest time", [] {
    Membership membership(kFirst);
    TimePoint now = kStart;
    for (const int gap :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60000))) {
      now += milliseconds(gap);
      if (*rc::gen::arbitrary<bool>()) {
        membership.OnSuccess(kServer);
        RC_ASSERT(!membership.Suspect(kServer, now));
        continue;
      }
      const milliseconds time = FailAt(&membership, now);
      RC_ASSERT(time >= kFirst);
      RC_ASSERT(time <= kLongest);
    }
  });
}

}  // namespace wasabiwall::coordination
