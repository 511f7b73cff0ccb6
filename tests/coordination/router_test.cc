#include "wasabiwall/coordination/router.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "wasabiwall/coordination/hash_ring.h"
#include "wasabiwall/coordination/routing_policies.h"

namespace wasabiwall::coordination {

namespace {

constexpr int kChats = 2000;

/// Candidates named 0 to count - 1 without one of them.
std::vector<Candidate> MakeCandidates(int count, int missing = -1) {
  std::vector<Candidate> candidates;
  for (int i = 0; i < count; ++i) {
    if (i == missing) continue;
    candidates.push_back(
        {state::BackendServerId(std::to_string(i)), 1.0 + i % 2});
  }
  return candidates;
}

RoutingQuery MakeQuery(const std::string& chat,
                       const std::vector<Candidate>& candidates) {
  return {.workspace = state::WorkspaceId("w"),
          .chat = state::ChatId(chat),
          .cost_units = 1,
          .candidates = candidates};
}

RoutingPolicy MakePolicy(std::string_view name) {
  return MakeRoutingPolicy(name, std::mt19937_64(7));
}

std::vector<std::string> IdsOf(const RoutingQuery& query,
                               const CandidateOrder& order) {
  std::vector<std::string> ids;
  for (const std::size_t index : order) {
    ids.push_back(query.candidates[index].id.value);
  }
  return ids;
}

std::vector<Candidate> WithLoads(int count) {
  std::vector<Candidate> candidates = MakeCandidates(count);
  for (Candidate& candidate : candidates) {
    candidate.load_units = *rc::gen::inRange(0, 100);
    candidate.reported = true;
  }
  return candidates;
}

}  // namespace

TEST_CASE("every policy orders each candidate once, up to the limit",
          "[router][fuzz]") {
  rc::prop("a permutation, of which a limited order is a prefix",
           [](const std::string& chat) {
             const auto candidates = WithLoads(*rc::gen::inRange(0, 60));
             RoutingQuery query = MakeQuery(chat, candidates);
             for (const std::string_view name : RoutingPolicyNames()) {
               query.max_results = candidates.size();
               const CandidateOrder all = MakePolicy(name)(query);
               CandidateOrder sorted = all;
               std::sort(sorted.begin(), sorted.end());
               RC_ASSERT(sorted.size() == candidates.size());
               for (std::size_t i = 0; i < sorted.size(); ++i) {
                 RC_ASSERT(sorted[i] == i);
               }
               query.max_results = *rc::gen::inRange<std::size_t>(0, 70);
               const CandidateOrder cut = MakePolicy(name)(query);
               RC_ASSERT(cut.size() == std::min(query.max_results, all.size()));
               RC_ASSERT(std::equal(cut.begin(), cut.end(), all.begin()));
             }
           });
}

TEST_CASE("routers that disagree on one VM keep the order of the rest",
          "[router][fuzz]") {
  rc::prop("removing a candidate removes only it", [](const std::string& chat) {
    const int count = *rc::gen::inRange(2, 40);
    const int missing = *rc::gen::inRange(0, count);
    const auto all = MakeCandidates(count);
    const auto fewer = MakeCandidates(count, missing);
    for (const auto* name :
         {"rendezvous", "rendezvous_bounded", "consistent_hash"}) {
      const RoutingQuery full = MakeQuery(chat, all);
      const RoutingQuery less = MakeQuery(chat, fewer);
      auto ids = IdsOf(full, MakePolicy(name)(full));
      std::erase(ids, std::to_string(missing));
      RC_ASSERT(ids == IdsOf(less, MakePolicy(name)(less)));
    }
  });
}

TEST_CASE("routers that disagree on a few VMs agree on nearly all chats",
          "[router]") {
  const auto all = MakeCandidates(50);
  const auto fewer = std::vector<Candidate>(all.begin() + 2, all.end());
  for (const auto* name : {"rendezvous", "consistent_hash"}) {
    const HashRing full_ring(all);
    const HashRing less_ring(fewer);
    int agreed = 0;
    for (int chat = 0; chat < kChats; ++chat) {
      RoutingQuery full = MakeQuery(std::to_string(chat), all);
      RoutingQuery less = MakeQuery(std::to_string(chat), fewer);
      full.max_results = less.max_results = 1;
      full.ring = &full_ring;
      less.ring = &less_ring;
      agreed += IdsOf(full, MakePolicy(name)(full)) ==
                IdsOf(less, MakePolicy(name)(less));
    }
    INFO(name << " " << agreed);
    // The two missing candidates have 3 of the total weight of 75.
    CHECK(agreed > kChats * 93 / 100);
    CHECK(agreed < kChats * 99 / 100);
  }
}

TEST_CASE("first choices are in proportion to the weights", "[router]") {
  std::vector<Candidate> candidates = MakeCandidates(4);
  const double weights[] = {1.0, 2.0, 4.0, 0.5};
  for (std::size_t i = 0; i < 4; ++i) candidates[i].weight = weights[i];
  for (const auto* name : {"rendezvous", "rendezvous_bounded", "random"}) {
    const RoutingPolicy policy = MakePolicy(name);
    std::map<std::size_t, int> first;
    for (int chat = 0; chat < kChats; ++chat) {
      RoutingQuery query = MakeQuery(std::to_string(chat), candidates);
      query.max_results = 1;
      query.load_floor_units = 1;
      ++first[policy(query).front()];
    }
    for (std::size_t i = 0; i < 4; ++i) {
      const double expected = kChats * weights[i] / 7.5;
      INFO(name << " candidate " << i << " got " << first[i]);
      // Four standard deviations.
      CHECK(std::abs(first[i] - expected) < 4 * std::sqrt(expected));
    }
  }
}

TEST_CASE("the bounded order moves back only candidates above the load bound",
          "[router][fuzz]") {
  rc::prop("two groups, each in rendezvous order", [](const std::string& chat) {
    const auto candidates = WithLoads(*rc::gen::inRange(1, 60));
    RoutingQuery query = MakeQuery(chat, candidates);
    query.cost_units = *rc::gen::inRange(0, 40);
    query.load_floor_units = *rc::gen::inRange(0, 100);
    double mean = 0;
    for (const Candidate& candidate : candidates) {
      mean += static_cast<double>(candidate.load_units) /
              static_cast<double>(candidates.size());
    }
    const double bound = std::max<double>(
        static_cast<double>(query.load_floor_units), 1.25 * mean);
    CandidateOrder expected;
    for (const bool fitting : {true, false}) {
      for (const std::size_t index : MakePolicy("rendezvous")(query)) {
        const std::int64_t load =
            candidates[index].load_units + query.cost_units;
        // Summation in another order may change the last digit.
        RC_PRE(std::abs(static_cast<double>(load) - bound) > 1e-6 ||
               load == query.load_floor_units);
        if ((static_cast<double>(load) <= bound) == fitting) {
          expected.push_back(index);
        }
      }
    }
    RC_ASSERT(MakePolicy("rendezvous_bounded")(query) == expected);
  });
}

}  // namespace wasabiwall::coordination
