#include "clients/client_bed.h"

#include <sys/resource.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "fakes/test_port.h"

namespace wasabiwall::clients {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kStep{2};
/// Time without progress after which a crowd has done what it can.
constexpr milliseconds kSettleTime{400};
/// Clock ticks that an idle gateway may use in the settle time.
constexpr std::int64_t kIdleTicks = 5;
constexpr milliseconds kLongestStart{20000};
constexpr milliseconds kLongestAnswer{60000};
constexpr milliseconds kAttemptPause{50};
constexpr milliseconds kAttemptTime{2000};
/// Longer than a crowd takes to arrive, so that all of it is there at a time
/// however fast the machine is.
constexpr int kHeaderTimeoutMs = 10000;
constexpr int kMaxBodyBytes = 4194304;
/// Bodies of the backend server's responses.
constexpr std::size_t kPlainBytes = 60000;
constexpr std::size_t kBigBytes = 1U << 20U;

/// Raises this process's limit of descriptors, for crowds of over a thousand.
void RaiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, 8192);
  limit.rlim_cur = std::max<rlim_t>(limit.rlim_cur, 1024);
  setrlimit(RLIMIT_NOFILE, &limit);
}

}  // namespace

std::string PathOf(Target target) {
  switch (target) {
    case Target::kRoute:
      return "/safe/x";
    case Target::kNoRoute:
      return "/none/x";
    case Target::kReadiness:
      return "/ready";
    case Target::kMetrics:
      break;
  }
  return "/metrics";
}

ClientBed::ClientBed()
    : m_store(&m_loop, 1),
      m_backend(&m_loop, [this](const Call& call) { OnCall(call); }),
      m_folder(std::filesystem::temp_directory_path().string() +
               "/wasabiwall-clients-" + std::to_string(getpid())),
      m_first_port(fakes::TestPort(0)) {
  RaiseDescriptorLimit();
  std::filesystem::create_directories(m_folder);
  Publish();
  m_gateway = std::make_unique<platform::soak::GatewayChild>(
      &m_loop,
      platform::soak::GatewayChild::Options{.program = WASABIWALL_GATEWAY,
                                            .folder = m_folder,
                                            .name = "gateway",
                                            .failure_domain = "z0",
                                            .store_address = m_store.Address(),
                                            .first_port = m_first_port,
                                            .max_descriptors = kMaxDescriptors,
                                            .memory_mb = kMemoryMb,
                                            .lowers_descriptor_limit = false});
  m_gateway->Start();
  const auto end = m_loop.Now() + kLongestStart;
  while (m_loop.Now() < end && AnswerTo(Target::kReadiness) != 200) {
    RunFor(kAttemptPause);
  }
  m_pid = m_gateway->Pid();
  REQUIRE(m_pid != 0);
  REQUIRE(IsAnswered(Target::kRoute));
}

ClientBed::~ClientBed() {
  m_gateway->StopForGood();
  RunFor(milliseconds(100));
  std::error_code error;
  std::filesystem::remove_all(m_folder, error);
}

void ClientBed::Publish() {
  m_store.Put("op/config",
              json{{"version", 1},
                   {"routes",
                    {{{"name", "safe"},
                      {"host", "h"},
                      {"path_prefix", "/safe/"},
                      {"type", "safe"},
                      {"timeout_ms", 20000},
                      {"goal_ms", 300},
                      {"priority", 1},
                      {"service", "s"},
                      {"max_attempts", 2},
                      {"public", true}}}},
                   {"services", {{{"name", "s"}, {"max_conns", 400}}}},
                   {"limits",
                    {{"header_timeout_ms", kHeaderTimeoutMs},
                     {"max_body_bytes", kMaxBodyBytes}}}}
                  .dump());
  m_store.Put("servers/b1", json{{"service", "s"},
                                 {"address", m_backend.Address()},
                                 {"zone", "z0"},
                                 {"version", "v1"},
                                 {"capacity", 64},
                                 {"phase", "ready"},
                                 {"cold_left_ms", 0},
                                 {"sequence", 1},
                                 {"born", 1}}
                                .dump());
}

void ClientBed::OnCall(const Call& call) {
  const std::string* attempt = call.head.headers.Find("X-Attempt-Id");
  const std::size_t size =
      call.head.target.ends_with("/big") ? kBigBytes : kPlainBytes;
  call.session->Write(
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: " +
      (attempt == nullptr ? "" : *attempt) +
      "\r\nX-Response-Seal: s\r\nContent-Length: " + std::to_string(size) +
      "\r\n\r\n" + std::string(size, 'r'));
}

std::uint16_t ClientBed::PortOf(Target target) const {
  switch (target) {
    case Target::kReadiness:
      return static_cast<std::uint16_t>(m_first_port + 1);
    case Target::kMetrics:
      return static_cast<std::uint16_t>(m_first_port + 2);
    case Target::kRoute:
    case Target::kNoRoute:
      break;
  }
  return static_cast<std::uint16_t>(m_first_port);
}

void ClientBed::RunFor(milliseconds time) {
  transport::Timer end(&m_loop);
  end.Start(time, [this] { m_loop.Stop(); });
  m_loop.Run();
}

void ClientBed::RunCrowds(const std::vector<Crowd*>& crowds,
                          milliseconds longest) {
  const auto end = m_loop.Now() + longest;
  auto last_progress = m_loop.Now();
  auto last_ticks = UsedTicks();
  while (m_loop.Now() < end && m_loop.Now() - last_progress < kSettleTime) {
    const bool works = UsedTicks() - last_ticks > kIdleTicks;
    if (works) last_ticks = UsedTicks();
    std::size_t progress = 0;
    for (Crowd* crowd : crowds) progress += crowd->Step();
    if (progress > 0 || works) last_progress = m_loop.Now();
    CountDescriptors();
    RunFor(kStep);
  }
}

void ClientBed::CountDescriptors() {
  std::error_code error;
  std::size_t count = 0;
  for (std::filesystem::directory_iterator
           entry("/proc/" + std::to_string(m_pid) + "/fd", error),
       none;
       !error && entry != none; entry.increment(error)) {
    ++count;
  }
  m_peak_descriptors = std::max(m_peak_descriptors, count);
}

std::int64_t ClientBed::UsedTicks() const {
  std::ifstream file("/proc/" + std::to_string(m_pid) + "/stat");
  std::string word;
  // Fields 14 and 15 hold the time in user and in kernel mode.
  constexpr int fields_before = 13;
  for (int i = 0; i < fields_before; ++i) file >> word;
  std::int64_t user = 0;
  std::int64_t kernel = 0;
  file >> user >> kernel;
  return user + kernel;
}

std::size_t ClientBed::PeakMemoryKb() const {
  std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
  std::string word;
  while (file >> word) {
    std::size_t kilobytes = 0;
    if (word == "VmHWM:" && file >> kilobytes) return kilobytes;
  }
  return 0;
}

int ClientBed::AnswerTo(Target target) {
  const transport::Address address{"127.0.0.1", PortOf(target)};
  int status = 0;
  bool ended = false;
  const auto end = [&] {
    ended = true;
    m_loop.Stop();
  };
  transport::Http1Parser parser(transport::Http1Parser::Kind::kResponses,
                                {.on_head =
                                     [&](const transport::MessageHead& head) {
                                       status = head.status;
                                       return true;
                                     },
                                 .on_body = [](std::string_view) {},
                                 .on_complete = end});
  std::unique_ptr<transport::TcpConnection> connection;
  connection = std::make_unique<transport::TcpConnection>(
      &m_loop, address, transport::TcpOptions{},
      transport::TcpConnection::Handlers{
          .on_connected =
              [&] {
                connection->Write("GET " + PathOf(target) +
                                  " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: o" +
                                  std::to_string(++m_attempts) + "\r\n\r\n");
              },
          .on_data =
              [&](std::string_view data) {
                std::size_t consumed = 0;
                parser.Feed(data, &consumed);
              },
          .on_end = [&](transport::ConnectionEnd) { end(); },
          .on_drained = nullptr});
  const auto latest = m_loop.Now() + kAttemptTime;
  while (!ended && m_loop.Now() < latest) RunFor(kStep);
  return ended ? status : 0;
}

bool ClientBed::IsAnswered(Target target) {
  const auto end = m_loop.Now() + kLongestAnswer;
  while (m_loop.Now() < end) {
    if (AnswerTo(target) == 200) return true;
    RunFor(kAttemptPause);
  }
  return false;
}

void ClientBed::CheckAfterwards() {
  CountDescriptors();
  const std::size_t peak_kb = PeakMemoryKb();
  std::cout << "peak memory " << peak_kb << " kB, descriptors "
            << m_peak_descriptors << "\n";
  CHECK(m_gateway->Pid() == m_pid);
  CHECK(peak_kb > 0);
  CHECK(peak_kb <= static_cast<std::size_t>(kMemoryMb) << 10U);
  CHECK(m_peak_descriptors <= static_cast<std::size_t>(kMaxDescriptors));
  CHECK(IsAnswered(Target::kRoute));
  CHECK(m_gateway->Pid() == m_pid);
}

}  // namespace wasabiwall::clients
