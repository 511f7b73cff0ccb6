// Measures bookings: the same call straight to the service and through an
// entry, and the ledger alone with one intent per transaction and with groups.
// Usage: bench-bookings SERVICE_URL ENTRY_URL TOKEN KEY_VALUE_URL
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "wasabiwall/coordination/idempotency_ledger.h"
#include "wasabiwall/transport/http_client.h"
#include "wasabiwall/transport/key_value_client.h"

namespace {

using namespace wasabiwall;  // NOLINT(google-build-using-namespace)
using coordination::IdempotencyLedger;
using coordination::LedgerDecision;
using transport::HttpClient;
using Clock = std::chrono::steady_clock;
using Microseconds = std::chrono::microseconds;

constexpr int kCallsPerThread = 150;
constexpr int kLedgerKeys = 2000;
constexpr char kOwnerKey[] = "/wasabiwall/owners/bench/0";

std::string UniqueKey(int number) {
  static const std::string run =
      std::to_string(Clock::now().time_since_epoch().count());
  static std::atomic<int> count{0};
  return run + "-" + std::to_string(number) + "-" + std::to_string(++count);
}

/// Transactions that the key-value service has counted.
std::int64_t Writes(const std::string& url) {
  transport::HttpRequest request;
  request.url = url + "/admin/counts";
  const auto response = HttpClient::Send(request);
  if (!response) return 0;
  return nlohmann::json::parse(response->body, nullptr, false)
      .value("writes", std::int64_t{0});
}

struct Sample {
  std::vector<Microseconds> times;
  std::chrono::duration<double> elapsed{0};
  int failed = 0;
};

Sample Book(const std::string& url, const std::string& token, int threads) {
  std::vector<Sample> parts(static_cast<std::size_t>(threads));
  std::vector<std::thread> workers;
  workers.reserve(parts.size());
  const auto start = Clock::now();
  for (Sample& part : parts) {
    workers.emplace_back([&url, &token, &part] {
      for (int i = 0; i < kCallsPerThread; ++i) {
        transport::HttpRequest request;
        request.method = "POST";
        request.url = url;
        request.headers = {{"Authorization", "Bearer " + token},
                           {"Idempotency-Key", UniqueKey(i)}};
        request.body = R"({"ramp":1})";
        const auto begin = Clock::now();
        const auto response = HttpClient::Send(request);
        if (!response || response->status != 200) {
          ++part.failed;
          continue;
        }
        part.times.push_back(
            std::chrono::duration_cast<Microseconds>(Clock::now() - begin));
      }
    });
  }
  for (std::thread& worker : workers) worker.join();
  Sample all;
  all.elapsed = Clock::now() - start;
  for (const Sample& part : parts) {
    all.times.insert(all.times.end(), part.times.begin(), part.times.end());
    all.failed += part.failed;
  }
  std::sort(all.times.begin(), all.times.end());
  return all;
}

void Print(const char* name, int threads, const Sample& sample, double calls) {
  if (sample.times.empty()) return;
  const auto at = [&](double share) {
    const auto last = static_cast<double>(sample.times.size() - 1);
    const auto index = static_cast<std::size_t>(share * last);
    return static_cast<double>(sample.times[index].count()) / 1000.0;
  };
  const auto count = static_cast<double>(sample.times.size());
  std::printf(
      "%-7s threads %3d p50 %.2f ms p99 %.2f ms %.0f/s failed %d "
      "transactions per booking %.2f\n",
      name, threads, at(0.5), at(0.99), count / sample.elapsed.count(),
      sample.failed, calls / count);
}

/// Commits intents and outcomes of many keys that are there at once.
void MeasureLedger(const std::string& key_value_url, std::size_t max_keys) {
  const transport::KeyValueClient client({.url = key_value_url});
  const state::KeyValueStore store = client.Store();
  store.txn({.writes = {{kOwnerKey, "", 0, true}}});
  const auto owner = store.txn({.writes = {{kOwnerKey, "bench"}}});
  if (!owner) return;
  IdempotencyLedger ledger(UniqueKey(0));
  ledger.OnShardOwned(0, kOwnerKey, owner->revision);
  for (int i = 0; i < kLedgerKeys; ++i) {
    ledger.Begin({state::PoolId("bench"), 0, state::WorkspaceId("bench"),
                  UniqueKey(i), "digest", state::AttemptId(UniqueKey(i))});
  }
  const std::int64_t before = client.Calls();
  const auto start = Clock::now();
  int runs = 0;
  while (const auto batch = ledger.TakeBatch(max_keys)) {
    for (const LedgerDecision& decision :
         ledger.OnBatchResult(*batch, store.txn(batch->txn))) {
      if (decision.action != LedgerDecision::Action::kRun) continue;
      ++runs;
      ledger.OnOutcome(decision.attempt, {"booked", {}});
    }
  }
  const std::chrono::duration<double> elapsed = Clock::now() - start;
  std::printf("ledger  up to %2zu keys a transaction %.0f/s calls %.3f\n",
              max_keys, runs / elapsed.count(),
              static_cast<double>(client.Calls() - before) / runs);
}

}  // namespace

int main(int argc, const char** argv) {
  if (argc != 5) {
    std::fprintf(stderr,
                 "usage: %s SERVICE_URL ENTRY_URL TOKEN KEY_VALUE_URL\n",
                 argv[0]);
    return 2;
  }
  const std::string path = "/v1/services/ramps/book";
  for (const int threads : {1, 8, 32, 64}) {
    Print("direct", threads, Book(std::string(argv[1]) + path, "", threads), 0);
    const std::int64_t before = Writes(argv[4]);
    const Sample sample = Book(std::string(argv[2]) + path, argv[3], threads);
    const auto writes = static_cast<double>(Writes(argv[4]) - before);
    Print("entry", threads, sample, writes);
  }
  for (const std::size_t keys : {1, 4, 32}) MeasureLedger(argv[4], keys);
  return 0;
}
