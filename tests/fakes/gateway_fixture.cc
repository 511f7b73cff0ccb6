#include "fakes/gateway_fixture.h"

#include <sstream>
#include <utility>

namespace wasabiwall::fakes {
namespace {

using std::chrono::milliseconds;
using transport::HeaderList;

constexpr milliseconds kStreamTimeout{6000};
constexpr milliseconds kPlainTimeout{1500};

std::string ValueOf(const HeaderList& headers, const char* name) {
  const std::string* value = headers.Find(name);
  return value == nullptr ? "" : *value;
}

state::Route MakeRoute(const std::string& prefix, state::CallKind kind,
                       bool resumable, int max_attempts) {
  state::Route route;
  route.name = prefix;
  route.host = "host";
  route.path_prefix = prefix;
  route.kind = kind;
  route.timeout =
      kind == state::CallKind::kStream ? kStreamTimeout : kPlainTimeout;
  route.objective = milliseconds(400);
  route.event_gap = milliseconds(200);
  route.services = {{state::ServiceId("s"), 1}};
  route.max_attempts = max_attempts;
  route.resumable = resumable;
  route.prefers_cached_prompt = kind == state::CallKind::kStream;
  return route;
}

}  // namespace

transport::CallCodec TestCodec() {
  transport::CallCodec codec;
  codec.decode_call = [](const HeaderList& headers) {
    transport::CallMetadata call;
    call.attempt_id = ValueOf(headers, "Attempt");
    const std::string deadline = ValueOf(headers, "Deadline");
    if (!deadline.empty()) call.deadline = milliseconds(std::stoi(deadline));
    if (headers.Find("Key") != nullptr) call.key = ValueOf(headers, "Key");
    const std::string part = ValueOf(headers, "Part");
    if (!part.empty()) {
      std::istringstream parts(part);
      while (parts >> call.shared_part) {
        call.prompt_parts.push_back(call.shared_part);
      }
    }
    const std::string tokens = ValueOf(headers, "Tokens");
    if (!tokens.empty()) call.shared_tokens = std::stol(tokens);
    return call;
  };
  codec.encode_call = [](const transport::ForwardedCall& call,
                         HeaderList* headers) {
    headers->Remove("Deadline");
    headers->Remove("Key");
    headers->Add("Deadline", std::to_string(call.time_left.count()));
    headers->Add("Expect-Backend", call.backend_server.value);
    if (call.fetch_from) headers->Add("Fetch", *call.fetch_from);
    if (call.last_event_id) {
      headers->Remove("Last-Event-Id");
      headers->Add("Last-Event-Id", std::to_string(*call.last_event_id));
    }
  };
  codec.decode_reply = [](const transport::MessageHead& head) {
    transport::ReplyMetadata reply;
    reply.attempt_id = ValueOf(head.headers, "Attempt");
    reply.wrong_backend = head.headers.Find("Wrong-Backend") != nullptr;
    reply.not_run =
        reply.wrong_backend || head.headers.Find("Not-Run") != nullptr;
    const std::string hold_off = ValueOf(head.headers, "Hold-Off");
    if (!hold_off.empty()) reply.hold_off = milliseconds(std::stoi(hold_off));
    reply.leaving = head.headers.Find("Leaving") != nullptr;
    const std::string running = ValueOf(head.headers, "Running");
    if (!running.empty()) reply.load = {std::stoi(running), 0};
    return reply;
  };
  return codec;
}

TestClient::TestClient(transport::EventLoop* loop, int port) {
  m_tcp = std::make_unique<transport::TcpConnection>(
      loop, transport::Address{"127.0.0.1", static_cast<std::uint16_t>(port)},
      transport::TcpOptions{},
      transport::TcpConnection::Handlers{
          .on_connected = nullptr,
          .on_data =
              [this](std::string_view data) {
                m_received.append(data);
                if (m_pauses_after_read) m_tcp->PauseReading();
              },
          .on_end =
              [this](transport::ConnectionEnd end) {
                m_ended = true;
                m_broken = end == transport::ConnectionEnd::kBroken;
              },
          .on_drained = nullptr});
}

int TestClient::Status() const {
  constexpr std::size_t status_at = 9;
  return m_received.size() < status_at + 3
             ? 0
             : std::stoi(m_received.substr(status_at, 3));
}

GatewayFixture::GatewayFixture(transport::GatewayOptions options)
    : context(&loop, std::move(options), TestCodec()),
      gateway(&context, [this] { stopped = true; }) {
  context.ApplyConfig(MakeConfig(1));
  context.SetGateways({{"test", ""}});
  gateway.SetLoaded();
  gateway.Start();
}

GatewayFixture::GatewayFixture(Starting)
    : context(&loop, DefaultOptions(), TestCodec()),
      gateway(&context, [this] { stopped = true; }) {
  context.starting = true;
  context.registry.SetComplete(false);
  gateway.Start();
}

GatewayFixture::~GatewayFixture() {
  m_clients.clear();
  RunFor(milliseconds(5));
}

transport::GatewayOptions GatewayFixture::DefaultOptions() {
  transport::GatewayOptions options;
  options.name = "test";
  options.failure_domain = state::FailureDomainId("z");
  options.listen_address = {"127.0.0.1", 0};
  options.readiness_address = {"127.0.0.1", 0};
  return options;
}

std::shared_ptr<state::ServiceConfig> GatewayFixture::MakeConfig(
    std::int64_t version) {
  auto config = std::make_shared<state::ServiceConfig>();
  config->version = version;
  config->AddRoute(MakeRoute("/safe/", state::CallKind::kIdempotent, false, 2));
  config->AddRoute(
      MakeRoute("/once/", state::CallKind::kNonIdempotent, false, 2));
  config->AddRoute(MakeRoute("/chat/", state::CallKind::kStream, true, 2));
  config->AddRoute(MakeRoute("/talk/", state::CallKind::kStream, false, 2));
  state::Service service;
  service.id = state::ServiceId("s");
  service.max_connections = 100;
  config->services[service.id] = service;
  config->Index();
  return config;
}

ScriptedBackend& GatewayFixture::AddBackend(const std::string& id,
                                            ScriptedBackend::Script script) {
  m_backends.push_back(
      std::make_unique<ScriptedBackend>(&loop, std::move(script)));
  Register(id, m_backends.back()->Address());
  return *m_backends.back();
}

void GatewayFixture::Register(const std::string& id,
                              const std::string& address) {
  state::BackendServer server;
  server.id = state::BackendServerId(id);
  server.service = state::ServiceId("s");
  server.address = address;
  server.failure_domain = state::FailureDomainId("z");
  server.capacity = 10;
  context.registry.Put(server, loop.Now(), false);
}

TestClient& GatewayFixture::Connect() {
  m_clients.push_back(
      std::make_unique<TestClient>(&loop, gateway.ListenPort()));
  return *m_clients.back();
}

TestClient& GatewayFixture::Call(const std::string& path,
                                 const std::string& attempt_id,
                                 const std::string& extra_headers) {
  TestClient& client = Connect();
  client.Send(RequestText(path, attempt_id, extra_headers));
  return client;
}

bool GatewayFixture::RunUntil(const std::function<bool()>& done) {
  constexpr std::chrono::seconds time_limit{5};
  const auto end = std::chrono::steady_clock::now() + time_limit;
  transport::Timer wake(&loop);
  wake.StartRepeating(milliseconds(1), [] {});
  while (!done() && std::chrono::steady_clock::now() < end) {
    uv_run(loop.Handle(), UV_RUN_ONCE);
  }
  return done();
}

void GatewayFixture::RunFor(milliseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  RunUntil([end] { return std::chrono::steady_clock::now() >= end; });
}

std::string RequestText(const std::string& path, const std::string& attempt_id,
                        const std::string& extra_headers) {
  return "GET " + path + " HTTP/1.1\r\nHost: host\r\nAttempt: " + attempt_id +
         "\r\nDeadline: 6000\r\n" + extra_headers + "\r\n";
}

}  // namespace wasabiwall::fakes
