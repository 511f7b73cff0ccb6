// Random input of clients: framing, pace, stops and resets, with fixed seeds.
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "clients/client_bed.h"
#include "clients/client_kinds.h"

namespace wasabiwall::clients {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLongestRound{1500};
constexpr int kClients = 300;
constexpr int kRounds = 6;
/// Bytes by which a gateway may grow for each client: its memory without a
/// quarter for the process itself, divided by the clients.
constexpr std::size_t kBytesOfClient =
    (static_cast<std::size_t>(ClientBed::kMemoryMb) << 20U) * 3 / 4 / kClients;

/// Makes the input of one client.
class InputMaker {
 public:
  explicit InputMaker(std::uint64_t seed) : m_random(seed) {}

  ClientPlan Make(Target target) {
    std::string input;
    const int requests = Chance(4) ? Below(100) : 1 + Below(3);
    for (int i = 0; i < requests; ++i) input += Request(target);
    if (Chance(2)) input.resize(static_cast<std::size_t>(Below(input.size())));
    if (Chance(8)) Garble(&input);
    ClientPlan plan{.input = FixedInput(input)};
    if (Chance(2)) plan.bytes_per_step = 1 + Below(2000);
    if (Chance(2)) plan.reads_per_step = Below(2000);
    if (Chance(5)) plan.reset_after = 1 + Below(200);
    return plan;
  }

 private:
  bool Chance(int one_in) {
    return Below(static_cast<std::size_t>(one_in)) == 0;
  }

  int Below(std::size_t limit) {
    return limit == 0 ? 0 : static_cast<int>(m_random() % limit);
  }

  std::string Request(Target target) {
    std::string path = PathOf(target);
    if (target == Target::kRoute && Chance(3)) path = "/safe/big";
    std::string head = std::string(Chance(2) ? "GET " : "POST ") + path +
                       " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: f\r\n";
    if (Chance(4)) head += "Connection: close\r\n";
    if (Chance(8)) head += "Expect: 100-continue\r\n";
    const int fields = Chance(4) ? Below(5000) : Below(5);
    for (int i = 0; i < fields; ++i) head += Chance(9) ? "bc: d\r\n" : "a:\r\n";
    const int body = Chance(3) ? Below(200000) : Below(100);
    switch (Below(4)) {
      case 0:
        return head + "\r\n";
      case 1:
        return head + "Transfer-Encoding: chunked\r\n\r\n" + Chunks(body);
      case 2:
        return head + "Content-Length: 5000000000\r\n\r\n";
      default:
        break;
    }
    return head + "Content-Length: " + std::to_string(body) + "\r\n\r\n" +
           std::string(static_cast<std::size_t>(body), 'b');
  }

  std::string Chunks(int bytes) {
    std::string chunks;
    while (bytes > 0) {
      const int size = std::min(bytes, Chance(2) ? 1 : 9);
      chunks += std::to_string(size) + "\r\n" +
                std::string(static_cast<std::size_t>(size), 'b') + "\r\n";
      bytes -= size;
    }
    return chunks + "0\r\n\r\n";
  }

  void Garble(std::string* input) {
    for (int i = 0; i < 5 && !input->empty(); ++i) {
      (*input)[static_cast<std::size_t>(Below(input->size()))] =
          static_cast<char>(Below(256));
    }
  }

  std::mt19937_64 m_random;
};

TEST_CASE("clients with random input") {
  ClientBed bed;
  const std::size_t before_kb = bed.PeakMemoryKb();
  InputMaker maker(20261206);
  for (int round = 0; round < kRounds; ++round) {
    const auto target = static_cast<Target>(round % 4);
    Crowd crowd(bed.PortOf(target));
    for (int i = 0; i < kClients; ++i) {
      crowd.Add(maker.Make(i % 2 == 0 ? target : Target::kNoRoute));
    }
    bed.RunCrowds({&crowd}, kLongestRound);
  }
  const std::size_t grown = (bed.PeakMemoryKb() - before_kb) << 10U;
  CHECK(grown / kClients <= kBytesOfClient);
  bed.CheckAfterwards();
}

}  // namespace
}  // namespace wasabiwall::clients
