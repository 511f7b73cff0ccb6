#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <vector>

#include "wasabiwall/coordination/admission_controller.h"
#include "wasabiwall/coordination/cold_detector.h"
#include "wasabiwall/protocol/usage_report.h"

namespace wasabiwall::coordination {
namespace {

using std::chrono::microseconds;

/// Model of an engine that sustains `start` concurrent calls when cold and one
/// more for every four calls begun and completed since; above that it fails.
struct OracleEngine {
  std::int64_t start = 4;
  std::int64_t completions = 0;
  std::int64_t generation = 0;

  std::int64_t Capacity() const { return start + completions / 4; }
};

struct Running {
  std::int64_t warmup;
  std::int64_t generation;
};

}  // namespace

TEST_CASE("a warming engine never gets more calls than its capacity",
          "[warmup][fuzz]") {
  rc::prop("running calls are within the capacity of the engine", [] {
    OracleEngine engine;
    engine.start = *rc::gen::inRange(4, 12);
    state::Pool pool;
    pool.load_floor_units = pool.load_ceiling_units = 1 << 30;
    pool.warmup_units = 1 << 20;
    pool.warmup_calls = engine.start;
    AdmissionController admission;
    admission.Configure(pool);
    std::vector<Running> running;
    const int steps = *rc::gen::inRange(50, 400);
    for (int i = 0; i < steps; ++i) {
      switch (
          *rc::gen::weightedElement<int>({{8, 0}, {6, 1}, {1, 2}, {1, 3}})) {
        case 0: {
          const auto admitted = admission.Admit(1, 0, 0);
          RC_ASSERT(admitted || !running.empty());
          if (!admitted) break;
          running.push_back({*admitted, engine.generation});
          const auto count = static_cast<std::int64_t>(running.size());
          RC_ASSERT(count == 1 || count <= engine.Capacity());
          break;
        }
        case 1: {
          for (int n = *rc::gen::inRange(1, 9); n > 0 && !running.empty();
               --n) {
            const auto done = running.begin() + i % running.size();
            if (done->generation == engine.generation) ++engine.completions;
            admission.Finish(1, done->warmup, true);
            running.erase(done);
          }
          break;
        }
        case 2:
          if (*rc::gen::inRange(0, 4) > 0) break;
          ++engine.generation;
          engine.completions = 0;
          admission.RestartWarmup(WarmupReason::kCold);
          break;
        default:
          if (running.empty()) break;
          admission.Finish(1, running.back().warmup, false);
          running.pop_back();
      }
    }
  });
}

TEST_CASE("growth of the warm-up limit in one round", "[warmup]") {
  struct Row {
    WarmupReason reason;
    int rounds_before;
    std::int64_t calls_after_round;
  };
  const auto row = GENERATE(Row{WarmupReason::kCold, 20, 10},
                            Row{WarmupReason::kReturned, 20, 16},
                            Row{WarmupReason::kReturned, 0, 10});
  WarmupLimit limit({100, 8, 1000000});
  const auto round = [&] {
    for (std::int64_t n = limit.Calls(); n > 0; --n) limit.OnCompletion();
  };
  for (int i = 0; i < row.rounds_before; ++i) round();
  limit.Restart(row.reason);
  CHECK(limit.Calls() == 8);
  CHECK(limit.Units() == 100);
  round();
  CHECK(limit.Calls() == row.calls_after_round);
}

TEST_CASE("a cold engine is detected from its answers", "[warmup]") {
  struct Row {
    const char* name;
    AnswerStats usual;
    AnswerStats then;
    Warmth third;
  };
  const AnswerStats hit{1, true, 1000, 900, microseconds(10000)};
  const auto row = GENERATE_REF(
      Row{"as usual", hit, hit, Warmth::kWarm},
      Row{"cache lost", hit, {1, true, 1000, 0, {}}, Warmth::kCold},
      Row{"other chat", hit, {2, true, 1000, 0, {}}, Warmth::kCold},
      Row{"short prompt", hit, {1, true, 10, 0, {}}, Warmth::kWarm},
      Row{"no usage", hit, {1, true, {}, {}, {}}, Warmth::kWarm},
      Row{"slow",
          hit,
          {1, true, 1000, 900, microseconds(25000)},
          Warmth::kSlow},
      Row{"far slower",
          hit,
          {1, true, 1000, 900, microseconds(90000)},
          Warmth::kCold},
      Row{"slower by its prompt",
          hit,
          {3, true, 9000, 0, microseconds(250000)},
          Warmth::kWarm},
      Row{"failed", hit, {1, false, {}, {}, {}}, Warmth::kCold});
  CAPTURE(row.name);
  ColdDetector detector;
  for (int i = 0; i < 20; ++i) detector.OnAnswer(row.usual);
  CHECK(detector.OnAnswer(row.then) != Warmth::kCold);
  CHECK(detector.OnAnswer(row.then) != Warmth::kCold);
  Warmth third = detector.OnAnswer(row.then);
  // The first answer of a new chat is not a cache miss.
  if (row.then.chat_hash == 2) third = detector.OnAnswer(row.then);
  CHECK(third == row.third);
}

TEST_CASE("token counts are parsed from an answer", "[warmup]") {
  const auto usage = protocol::ParseUsage(
      R"(data: {"usage": {"prompt_tokens":7,"prompt_tokens_details":{"cached_tokens":5}}}

data: [DONE])");
  REQUIRE(usage);
  CHECK(usage->prompt_tokens == 7);
  CHECK(usage->cached_tokens == 5);
  CHECK_FALSE(protocol::ParseUsage("no counts"));
  CHECK_FALSE(protocol::ParseUsage(R"({"usage":{"prompt_tokens":)"));
  CHECK_FALSE(protocol::ParseUsage(R"({"usage":{"prompt_tokens":"x"}})"));
}

}  // namespace wasabiwall::coordination
