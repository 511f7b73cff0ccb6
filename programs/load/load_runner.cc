#include "load/load_runner.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <thread>

#include "wasabiwall/transport/http_client.h"

namespace wasabiwall::load {
namespace {

constexpr int kMaxThreads = 1024;
constexpr std::size_t kMaxCalls = 200000;
constexpr int kMaxTries = 4;
constexpr std::chrono::milliseconds kSkewInterval{250};
constexpr std::chrono::seconds kMetricsTimeout{1};

/// Load of one side process from its metrics; negative when unknown.
double LoadUnitsAt(const std::string& url) {
  transport::HttpRequest request;
  request.url = url;
  request.total_timeout = kMetricsTimeout;
  const auto response = transport::HttpClient::Send(request);
  if (!response) return -1;
  const std::string name = "\nwasabiwall_load_units ";
  const std::size_t at = response->body.find(name);
  if (at == std::string::npos) return -1;
  return std::atof(response->body.c_str() + at + name.size());
}

}  // namespace

LoadRunner::LoadRunner(const LoadOptions& options, LoadReport* report)
    : m_options(options),
      m_report(report),
      m_client(options),
      m_random(options.seed),
      m_workers(kMaxThreads, kMaxCalls) {}

void LoadRunner::Run() {
  m_start = Clock::now();
  PlanArrivals(CallType::kChat, m_options.chats_per_second);
  PlanArrivals(CallType::kBooking, m_options.bookings_per_second);
  PlanArrivals(CallType::kLookUp, m_options.look_ups_per_second);
  PlanBatches();
  std::jthread sampler([this](const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      SampleSkew();
      std::this_thread::sleep_for(kSkewInterval);
    }
  });
  std::unique_lock lock(m_mutex);
  while (!m_planned.empty() || m_open > 0) {
    if (m_planned.empty() || m_planned.top().at > Clock::now()) {
      const auto until =
          m_planned.empty() ? Clock::now() + kSkewInterval : m_planned.top().at;
      m_changed.wait_until(lock, std::min(until, Clock::now() + kSkewInterval));
      continue;
    }
    LoadCall call = m_planned.top().call;
    m_planned.pop();
    ++m_open;
    m_workers.Run([this, call] { Execute(call); });
  }
  lock.unlock();
  m_workers.Stop();
}

void LoadRunner::PlanArrivals(CallType type, double rate) {
  if (rate <= 0) return;
  std::exponential_distribution<double> gap(rate);
  double second = gap(m_random);
  while (second < static_cast<double>(m_options.duration.count()) &&
         m_planned.size() < kMaxCalls) {
    Schedule(m_start + std::chrono::microseconds(
                           static_cast<std::int64_t>(second * 1e6)),
             NewCall(type));
    second += gap(m_random);
  }
}

void LoadRunner::PlanBatches() {
  for (const BatchOption& batch : m_options.batches) {
    for (int i = 0; i < batch.chats && m_planned.size() < kMaxCalls; ++i) {
      Schedule(m_start + batch.at, NewCall(CallType::kChat));
    }
  }
}

LoadCall LoadRunner::NewCall(CallType type) {
  LoadCall call;
  call.type = type;
  // Keys of earlier runs against the same fleet must not come again.
  call.id = std::to_string(getpid()) + "-" + std::to_string(m_options.seed) +
            "-" + std::to_string(++m_next_id);
  std::string text = "call " + call.id;
  if (type == CallType::kChat) {
    for (int i = 0; i < m_options.prompt_words; ++i) {
      text += " word" + std::to_string(m_random() % 1000);
    }
  }
  call.messages.push_back(text);
  return call;
}

void LoadRunner::Schedule(Clock::time_point at, LoadCall call) {
  const std::lock_guard lock(m_mutex);
  m_planned.push({at, std::move(call)});
  m_changed.notify_all();
}

void LoadRunner::Execute(const LoadCall& call) {
  std::string entry;
  {
    const std::lock_guard lock(m_mutex);
    entry = m_options.entries[m_next_entry++ % m_options.entries.size()];
  }
  const auto arrived = Elapsed();
  const CallRecord record = m_client.Make(call, entry);
  const bool booking_in_doubt =
      call.type == CallType::kBooking && record.verdict == Verdict::kLost;
  const bool again = record.verdict == Verdict::kRefused || booking_in_doubt;
  if (again && call.tries + 1 < kMaxTries) {
    LoadCall retry = call;
    ++retry.tries;
    m_report->CountRetry();
    Schedule(Clock::now() + record.retry_after, std::move(retry));
  } else {
    m_report->Add({call.type, arrived, call.turn > 0, record});
  }
  if (record.verdict == Verdict::kAnswered) ScheduleNextTurn(call);
  const std::lock_guard lock(m_mutex);
  --m_open;
  m_changed.notify_all();
}

void LoadRunner::ScheduleNextTurn(const LoadCall& call) {
  const bool more =
      call.type == CallType::kChat && call.turn + 1 < m_options.turns;
  if (!more) return;
  LoadCall next = call;
  ++next.turn;
  next.tries = 0;
  next.messages.push_back("turn " + std::to_string(next.turn) + " of " +
                          call.id);
  double pause = 0;
  {
    const std::lock_guard lock(m_mutex);
    std::exponential_distribution<double> think(
        1.0 / static_cast<double>(m_options.think_time.count()));
    pause = think(m_random);
  }
  Schedule(Clock::now() +
               std::chrono::milliseconds(static_cast<std::int64_t>(pause)),
           std::move(next));
}

void LoadRunner::SampleSkew() {
  double sum = 0;
  double highest = 0;
  int known = 0;
  for (const std::string& url : m_options.side_metrics) {
    const double units = LoadUnitsAt(url);
    if (units < 0) continue;
    ++known;
    sum += units;
    highest = std::max(highest, units);
  }
  if (isatty(STDERR_FILENO) != 0) {
    std::cerr << "\r" << Elapsed().count() / 1000 << " s  "
              << m_report->Progress() << std::flush;
  }
  if (known == 0 || sum <= 0) return;
  const double mean = sum / known;
  m_report->AddSkew({Elapsed(), highest / mean, mean});
}

std::chrono::milliseconds LoadRunner::Elapsed() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               m_start);
}

}  // namespace wasabiwall::load
