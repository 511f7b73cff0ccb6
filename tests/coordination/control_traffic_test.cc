#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <set>

#include "wasabiwall/coordination/load_report_selector.h"
#include "wasabiwall/protocol/encoded_size.h"

namespace wasabiwall::coordination {

namespace {

using protocol::gen::LoadReport;
using std::chrono::milliseconds;

LoadReport Report(const std::string& server, std::int64_t age_ms) {
  LoadReport report;
  report.backend_server = server;
  report.age_ms = age_ms;
  return report;
}

std::vector<std::string> Names(const LoadReportSelector::Reports& reports) {
  std::vector<std::string> names;
  for (const LoadReport& report : reports) {
    names.push_back(report.backend_server);
  }
  return names;
}

using Strings = std::vector<std::string>;

}  // namespace

TEST_CASE("the control budget holds over every time window",
          "[control][fuzz]") {
  rc::prop("never more than one second's worth above the rate", [] {
    const std::int64_t rate = *rc::gen::inRange(1, 5000);
    TimePoint now{milliseconds(0)};
    ControlBudget budget(rate, [&] { return now; });
    std::vector<std::pair<TimePoint, std::int64_t>> history = {{now, 0}};
    for (int step = 0; step < 100; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 400));
      const bool spare = *rc::gen::arbitrary<bool>();
      const std::int64_t bytes = *rc::gen::inRange(1, 2000);
      spare ? budget.TakeSpare(bytes) : budget.Take(bytes);
      const std::int64_t sent = budget.SentBytes();
      for (const auto& [since, before] : history) {
        const std::chrono::duration<double> time = now - since;
        const double allowed = static_cast<double>(rate) * (time.count() + 1.0);
        RC_ASSERT(static_cast<double>(sent - before) <= allowed + 1e-6);
      }
      history.emplace_back(now, sent);
    }
  });
}

TEST_CASE("probes leave half of the budget and refusals may overdraw it",
          "[control]") {
  TimePoint now{milliseconds(0)};
  ControlBudget budget(1000, [&] { return now; });
  CHECK(budget.TakeSpare(500));
  CHECK_FALSE(budget.TakeSpare(1));
  CHECK(budget.Take(500));
  CHECK_FALSE(budget.Take(1));
  budget.Charge(100);
  now += milliseconds(100);
  CHECK_FALSE(budget.Take(1));
  now += milliseconds(100);
  CHECK(budget.Take(100));
  CHECK(budget.SentBytes() == 1200);
}

TEST_CASE("a load report is sent once, at intervals and with refusals",
          "[control]") {
  TimePoint now{milliseconds(1000)};
  ControlBudget budget(100000, [&] { return now; });
  LoadReportSelector selector("own", &budget, [&] { return now; });
  LoadReportSelector::Reports known = {Report("own", 0), Report("b", 10),
                                       Report("c", 900), Report("peer", 5)};
  const auto send = [&](const std::string& peer, bool urgent) {
    return Names(selector.Select(peer, urgent, [&] { return known; }));
  };
  CHECK(send("peer", false) == Strings{"own", "c", "b"});
  const std::int64_t three = budget.SentBytes();
  CHECK(three == protocol::EncodedSize(known[0]) +
                     protocol::EncodedSize(known[1]) +
                     protocol::EncodedSize(known[2]));
  CHECK(send("peer", false) == Strings{});
  CHECK(send("peer", true) == Strings{"own"});
  CHECK(send("other", false) == Strings{"own", "c", "b", "peer"});
  now += milliseconds(100);
  for (LoadReport& report : known) report.age_ms += 100;
  known[0].age_ms = 0;
  CHECK(send("peer", false) == Strings{"own"});
  now += milliseconds(100);
  known = {Report("own", 0), Report("b", 50), Report("c", 1100),
           Report("d", 1001)};
  CHECK(send("peer", false) == Strings{"own", "b"});
}

TEST_CASE("without budget only a refusal's own load is sent", "[control]") {
  TimePoint now{milliseconds(1000)};
  ControlBudget budget(1, [&] { return now; });
  LoadReportSelector selector("own", &budget, [&] { return now; });
  LoadReportSelector::Reports known = {Report("own", 0), Report("b", 10)};
  const auto give = [&] { return known; };
  CHECK(selector.Select("p", false, give).empty());
  CHECK(Names(selector.Select("p", true, give)) == Strings{"own"});
}

TEST_CASE("load reports beyond one message's capacity take turns",
          "[control]") {
  TimePoint now{milliseconds(1000)};
  ControlBudget budget(100000, [&] { return now; });
  LoadReportSelector selector("", &budget, [&] { return now; });
  std::set<std::string> sent;
  for (int round = 0; round < 3; ++round) {
    LoadReportSelector::Reports known;
    for (int i = 0; i < 20; ++i) {
      known.push_back(Report(std::to_string(i), 100 * round + 10 * i));
    }
    for (const auto& name :
         Names(selector.Select("p", false, [&] { return known; }))) {
      CHECK(sent.insert(name).second);
    }
    now += milliseconds(100);
  }
  CHECK(sent.size() == 20);
}

}  // namespace wasabiwall::coordination
