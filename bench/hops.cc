// Compares a call straight to an engine with the same call through an entry
// and a side process, and finds the rate at which one entry saturates.
// Usage: bench-hops ENGINE_URL ENTRY_URL TOKEN
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "wasabiwall/transport/http_client.h"

namespace {

using wasabiwall::transport::HttpClient;
using wasabiwall::transport::HttpRequest;
using Clock = std::chrono::steady_clock;
using Microseconds = std::chrono::microseconds;

constexpr int kCallsPerThread = 300;

struct Sample {
  std::vector<Microseconds> times;
  int failed = 0;
  std::chrono::duration<double> elapsed{0};
};

HttpRequest MakeRequest(const std::string& url, const std::string& token,
                        const std::string& chat) {
  HttpRequest request;
  request.method = "POST";
  request.url = url + "/v1/chat/completions";
  request.headers = {{"Authorization", "Bearer " + token},
                     {"X-Chat-Id", chat},
                     {"Content-Type", "application/json"}};
  request.body =
      R"({"model":"assist","max_tokens":1,)"
      R"("messages":[{"role":"user","content":"platform 4, ramp please"}]})";
  return request;
}

Sample Measure(const std::string& url, const std::string& token, int threads) {
  std::vector<Sample> parts(static_cast<std::size_t>(threads));
  std::vector<std::thread> workers;
  workers.reserve(parts.size());
  const auto start = Clock::now();
  for (int t = 0; t < threads; ++t) {
    workers.emplace_back([&, t] {
      Sample& part = parts[static_cast<std::size_t>(t)];
      for (int i = 0; i < kCallsPerThread; ++i) {
        const std::string chat = std::to_string(t) + "-" + std::to_string(i);
        const auto begin = Clock::now();
        const auto response = HttpClient::Send(MakeRequest(url, token, chat));
        const auto time =
            std::chrono::duration_cast<Microseconds>(Clock::now() - begin);
        if (response && response->status == 200) {
          part.times.push_back(time);
        } else {
          ++part.failed;
        }
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

void Print(const char* name, int threads, const Sample& sample) {
  if (sample.times.empty()) {
    std::printf("%-8s threads %3d no answer\n", name, threads);
    return;
  }
  const auto at = [&](double share) {
    const auto index = static_cast<std::size_t>(
        share * static_cast<double>(sample.times.size() - 1));
    return static_cast<double>(sample.times[index].count()) / 1000.0;
  };
  std::printf(
      "%-8s threads %3d p50 %.2f ms p99 %.2f ms rate %.0f/s failed %d\n", name,
      threads, at(0.5), at(0.99),
      static_cast<double>(sample.times.size()) / sample.elapsed.count(),
      sample.failed);
}

}  // namespace

int main(int argc, const char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: %s ENGINE_URL ENTRY_URL TOKEN\n", argv[0]);
    return 2;
  }
  for (const int threads : {1, 4, 16, 32, 64}) {
    Print("direct", threads, Measure(argv[1], argv[3], threads));
    Print("entry", threads, Measure(argv[2], argv[3], threads));
  }
  return 0;
}
