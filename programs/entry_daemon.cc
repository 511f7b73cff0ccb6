#include "entry_daemon.h"

#include <random>
#include <utility>

#include "wasabiwall/transport/logging.h"
#include "wasabiwall/transport/vm_list_client.h"

namespace wasabiwall::programs {
namespace {

namespace gen = protocol::gen;
using coordination::PlannedCall;
using protocol::Error;
using protocol::ErrorKind;
using protocol::Fail;
using transport::ServerRequest;
using transport::ServerResponse;

constexpr std::chrono::milliseconds kVmListInterval{1000};
constexpr std::chrono::milliseconds kVmListTimeout{1000};
constexpr std::chrono::milliseconds kPeerReplyTimeout{3000};
constexpr char kChatPath[] = "/v1/chat/completions";
constexpr char kServicePrefix[] = "/v1/services/";
constexpr char kBearer[] = "Bearer ";

std::uint64_t RandomBits() {
  thread_local std::mt19937_64 generator{std::random_device{}()};
  return generator();
}

std::string TokenOf(const std::string& authorization) {
  const std::size_t length = sizeof(kBearer) - 1;
  if (authorization.compare(0, length, kBearer) != 0) return "";
  return authorization.substr(length);
}

void AnswerError(const Error& error, ServerResponse* response) {
  response->Send(protocol::RowOf(error.kind).http_status, "application/json",
                 protocol::ErrorBody(error), error.RetryAfter());
}

transport::HttpServerOptions HttpOptions(const protocol::Settings& settings) {
  transport::HttpServerOptions options;
  options.address = settings.http_address;
  options.http_threads = settings.http_threads;
  options.worker_threads = settings.worker_threads;
  options.max_body_bytes = static_cast<std::size_t>(settings.max_body_bytes);
  options.header_timeout = settings.header_timeout;
  options.body_timeout = settings.body_timeout;
  return options;
}

}  // namespace

EntryDaemon::EntryDaemon(protocol::Settings settings)
    : m_settings(std::move(settings)),
      m_key_value({m_settings.key_value_url}),
      m_peers(m_settings.connect_timeout, kPeerReplyTimeout),
      m_node(&m_config, m_settings.request_deadline,
             {coordination::SteadyClock(), &RandomBits}),
      m_control_budget(m_settings.control_bytes_per_second,
                       coordination::SteadyClock()),
      m_envelopes(m_settings, "", &m_control_budget,
                  {.config = &m_config,
                   .crashes = &m_node.Crashes(),
                   .loads = [this] { return m_node.LoadReports(); }}),
      m_follower({.failure_domain = m_settings.failure_domain,
                  .address = m_settings.peer_address,
                  .peers = m_settings.peers,
                  .may_read_service = m_settings.reads_configuration},
                 m_key_value.Store(), &m_config, &m_peers,
                 [this] { return m_envelopes.Make(); }),
      m_driver(&m_node, &m_config, &m_peers,
               {.make_envelope =
                    [this](const auto& target) {
                      return m_envelopes.MakeFor(target.value, false);
                    },
                .on_envelope = [this](const auto& e) { OnEnvelope(e); },
                .on_part_gap =
                    [this](const auto& workspace, auto gap) {
                      m_metrics.ObservePartGap(workspace, gap);
                    }}),
      m_prober(&m_node, &m_config, &m_peers, &m_control_budget,
               {.make_envelope = [this] { return m_envelopes.Make(); },
                .on_envelope = [this](const auto& e) { OnEnvelope(e); }}),
      m_peer_server(m_settings.peer_address, m_settings.secret,
                    MakePeerHandlers()),
      m_http_server(HttpOptions(m_settings),
                    [this](const auto& request, const auto& response) {
                      Handle(request, response.get());
                    }) {}

bool EntryDaemon::Start() {
  m_follower.Start();
  m_prober.Start();
  m_vm_list_thread = std::thread([this] { FollowVmList(); });
  return m_peer_server.Start() && m_http_server.Start();
}

void EntryDaemon::Stop() {
  m_draining = true;
  m_http_server.Stop(m_settings.drain_timeout);
  m_peer_server.Stop();
  m_prober.Stop();
  m_follower.Stop();
  {
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
  }
  m_changed.notify_all();
  if (m_vm_list_thread.joinable()) m_vm_list_thread.join();
}

void EntryDaemon::Handle(const ServerRequest& request,
                         ServerResponse* response) {
  if (request.path == "/healthz") {
    response->Send(200, "text/plain", "ok\n", {});
    return;
  }
  if (request.path == "/readyz") {
    const bool ready = Ready();
    response->Send(ready ? 200 : 503, "text/plain",
                   ready ? "ready\n" : "not ready\n", {});
    return;
  }
  if (request.path == "/metrics") {
    m_metrics.SetGauge("wasabiwall_config_revision",
                       static_cast<double>(m_config.Revision()));
    m_metrics.SetGauge("wasabiwall_control_bytes",
                       static_cast<double>(m_control_budget.SentBytes()));
    m_metrics.SetGauge("wasabiwall_key_value_calls",
                       static_cast<double>(m_key_value.Calls()));
    response->Send(200, "text/plain; version=0.0.4", m_metrics.Text(), {});
    return;
  }
  HandleCall(request, response);
}

void EntryDaemon::HandleCall(const ServerRequest& request,
                             ServerResponse* response) {
  auto planned = PlanCall(request);
  if (!planned) {
    m_metrics.CountCall("none", protocol::RowOf(planned.error().kind).name);
    AnswerError(m_node.WithRetryAfter("", planned.error()), response);
    return;
  }
  const std::string request_id = std::to_string(RandomBits());
  planned->request.request_id = request_id;
  const transport::CallOutcome outcome = m_driver.Drive(*planned, response);
  const std::string& workspace = planned->request.workspace;
  m_metrics.CountCall(workspace, outcome.error_kind);
  m_metrics.CountAttempts(outcome.attempts);
  if (outcome.bytes > 0)
    m_metrics.ObserveFirstByte(workspace, outcome.first_byte);
  transport::LogInfo(
      "call", {{"request", request_id},
               {"attempt", outcome.attempt},
               {"workspace", workspace},
               {"backend_server", outcome.backend_server},
               {"outcome",
                outcome.error_kind.empty() ? "answered" : outcome.error_kind},
               {"attempts", std::to_string(outcome.attempts)},
               {"bytes", std::to_string(outcome.bytes)}});
}

protocol::Result<PlannedCall> EntryDaemon::PlanCall(
    const ServerRequest& request) {
  coordination::CallerRequest call;
  call.method = request.method;
  call.body = request.body;
  call.token = TokenOf(request.authorization);
  call.chat_id = request.chat_id;
  call.idempotency_key = request.idempotency_key;
  call.query = request.query;
  if (request.path == kChatPath) {
    if (request.method != "POST") return Fail(ErrorKind::kMethodNotAllowed);
    return m_node.PlanChat(call);
  }
  if (request.path.rfind(kServicePrefix, 0) != 0) {
    return Fail(ErrorKind::kNotFound);
  }
  if (request.method != "POST" && request.method != "GET") {
    return Fail(ErrorKind::kMethodNotAllowed);
  }
  const std::string rest = request.path.substr(sizeof(kServicePrefix) - 1);
  const std::size_t slash = rest.find('/');
  if (slash == std::string::npos) return Fail(ErrorKind::kNotFound);
  return m_node.PlanService(rest.substr(0, slash), rest.substr(slash + 1),
                            call);
}

void EntryDaemon::FollowVmList() {
  std::unique_lock lock(m_mutex);
  while (!m_stopped) {
    lock.unlock();
    auto list = transport::FetchVmList(m_settings.vm_list_url, kVmListTimeout);
    if (list) m_node.Members().SetVmList(std::move(*list));
    lock.lock();
    m_changed.wait_for(lock, kVmListInterval, [this] { return m_stopped; });
  }
}

transport::PeerHandlers EntryDaemon::MakePeerHandlers() {
  transport::PeerHandlers handlers;
  handlers.items_since = [this](const auto& request) {
    return m_follower.ItemsSince(request);
  };
  handlers.status = [this](const auto&) {
    gen::StatusReply reply;
    reply.process = m_settings.name;
    reply.failure_domain = m_settings.failure_domain;
    reply.draining = m_draining;
    reply.running = m_http_server.InProgress();
    reply.key_value_calls = m_key_value.Calls();
    reply.heard_from = m_follower.HeardFrom();
    return reply;
  };
  handlers.on_envelope = [this](const auto& envelope) { OnEnvelope(envelope); };
  handlers.make_envelope = [this](const auto& receiver, bool refused) {
    return m_envelopes.MakeFor(receiver, refused);
  };
  return handlers;
}

void EntryDaemon::OnEnvelope(const gen::Envelope& envelope) {
  m_follower.OnRevisionHeard(envelope.config_revision, envelope.sender);
}

bool EntryDaemon::Ready() const {
  return !m_draining && m_config.Revision() > 0;
}

}  // namespace wasabiwall::programs
