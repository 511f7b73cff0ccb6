// Stand-in for a model engine: the OpenAI-style interface with SSE, a load
// report, cache events, fenced orders, resume and cancel of streams. Each
// answer is a function of the last message alone, so that a caller can check
// it. A message with CRASH-ENGINE ends the process.
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "standins/support/engine_model.h"
#include "standins/support/standin_server.h"
#include "wasabiwall/state/digest.h"

namespace {

using namespace wasabiwall;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

constexpr char kCrashMark[] = "CRASH-ENGINE";
constexpr std::size_t kMaxKeptStreams = 2000;

std::unique_ptr<standins::EngineModel> g_model;
std::mutex g_mutex;
std::map<std::string, std::string> g_streams;
std::set<std::string> g_cancelled;

std::string Word(const std::string& prompt, int index) {
  char text[48];
  std::snprintf(text, sizeof(text), "w%d-%016llx ", index,
                static_cast<unsigned long long>(  // NOLINT: type of printf
                    state::FastHash(prompt)));
  return text;
}

bool Cancelled(const std::string& attempt) {
  const std::lock_guard lock(g_mutex);
  return g_cancelled.count(attempt) > 0;
}

void Keep(const std::string& attempt, const std::string& text) {
  const std::lock_guard lock(g_mutex);
  if (g_streams.size() > kMaxKeptStreams) g_streams.erase(g_streams.begin());
  g_streams[attempt] += text;
}

std::string Event(const json& data) { return "data: " + data.dump() + "\n\n"; }

json Usage(const standins::EngineTicket& ticket, int tokens) {
  return {{"prompt_tokens", ticket.prompt_tokens},
          {"completion_tokens", tokens},
          {"prompt_tokens_details", {{"cached_tokens", ticket.cached_tokens}}}};
}

struct ChatCall {
  std::string chat;
  std::string attempt;
  std::string prompt;
  std::int64_t prompt_tokens = 0;
  int tokens = 16;
  bool stream = false;
};

ChatCall ReadChat(const transport::ServerRequest& request, const json& body) {
  ChatCall call;
  call.chat = request.chat_id;
  call.attempt = request.attempt_id;
  std::size_t bytes = 0;
  for (const json& message : body["messages"]) {
    call.prompt = message.value("content", "");
    bytes += call.prompt.size();
  }
  call.prompt_tokens = static_cast<std::int64_t>(bytes / 4 + 1);
  call.tokens = body.value("max_tokens", call.tokens);
  call.stream = body.value("stream", false);
  return call;
}

/// Generates the answer token by token; false when cancelled or cut.
bool Generate(const ChatCall& call, transport::ServerResponse* response,
              std::string* text) {
  for (int i = 0; i < call.tokens; ++i) {
    if (i > 0) std::this_thread::sleep_for(g_model->TokenInterval());
    const std::string word = Word(call.prompt, i);
    *text += word;
    if (Cancelled(call.attempt)) return false;
    if (!call.stream) continue;
    const std::string event =
        Event({{"choices", json::array({{{"delta", {{"content", word}}}}})}});
    Keep(call.attempt, event);
    if (!response->Write(event)) return false;
  }
  return true;
}

void Chat(const transport::ServerRequest& request,
          transport::ServerResponse* response) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("messages")) {
    response->Send(400, "application/json", R"({"error":"bad"})", {});
    return;
  }
  const ChatCall call = ReadChat(request, body);
  if (call.prompt.find(kCrashMark) != std::string::npos) std::_Exit(70);
  const standins::EngineTicket ticket =
      g_model->Begin(call.chat, call.prompt_tokens);
  if (ticket.fell_over) {
    response->Send(500, "application/json", R"({"error":"overwhelmed"})", {});
    return;
  }
  std::this_thread::sleep_for(ticket.first_token);
  if (call.stream) response->Begin(200, "text/event-stream");
  std::string text;
  const bool whole = Generate(call, response, &text);
  g_model->End(call.chat, call.prompt_tokens, call.tokens);
  if (!whole) return;
  if (call.stream) {
    response->Write(Event(
        {{"choices", json::array()}, {"usage", Usage(ticket, call.tokens)}}));
    response->Write("data: [DONE]\n\n");
    response->End();
    return;
  }
  const json message = {{"role", "assistant"}, {"content", text}};
  standins::SendJson(response,
                     json{{"choices", json::array({{{"message", message}}})},
                          {"usage", Usage(ticket, call.tokens)}}
                         .dump());
}

void Order(const transport::ServerRequest& request,
           transport::ServerResponse* response) {
  const json body = json::parse(request.body, nullptr, false);
  const bool taken =
      body.is_object() &&
      g_model->Order(body.value("fence", std::int64_t{0}), body.dump());
  response->Send(taken ? 200 : 409, "application/json", "{}", {});
}

void Stream(const std::string& attempt, const transport::ServerRequest& request,
            transport::ServerResponse* response) {
  const std::string offset = standins::QueryField(request.query, "offset");
  const std::lock_guard lock(g_mutex);
  const auto found = g_streams.find(attempt);
  if (found == g_streams.end()) {
    response->Send(404, "application/json", "{}", {});
    return;
  }
  const std::size_t from = offset.empty() ? 0 : std::stoul(offset);
  response->Send(200, "text/event-stream",
                 found->second.substr(std::min(from, found->second.size())),
                 {});
}

void Handle(const transport::ServerRequest& request,
            const std::shared_ptr<transport::ServerResponse>& response) {
  const std::string& path = request.path;
  if (path == "/v1/chat/completions") return Chat(request, response.get());
  if (path == "/load")
    return standins::SendJson(response.get(), g_model->LoadReport());
  if (path == "/orders") return Order(request, response.get());
  if (path == "/events") {
    const std::string after = standins::QueryField(request.query, "after");
    return standins::SendJson(response.get(),
                              g_model->CacheEvents(std::atoll(after.c_str())));
  }
  if (path == "/admin/cold") g_model->TurnCold();
  if (path.rfind("/admin/", 0) == 0) {
    return standins::SendJson(response.get(), g_model->Counts());
  }
  constexpr char streams_prefix[] = "/v1/streams/";
  constexpr char cancel_prefix[] = "/v1/cancel/";
  if (path.rfind(streams_prefix, 0) == 0) {
    return Stream(path.substr(sizeof(streams_prefix) - 1), request,
                  response.get());
  }
  if (path.rfind(cancel_prefix, 0) == 0) {
    const std::lock_guard lock(g_mutex);
    g_cancelled.insert(path.substr(sizeof(cancel_prefix) - 1));
    return standins::SendJson(response.get(), "{}");
  }
  response->Send(404, "application/json", "{}", {});
}

}  // namespace

int main(int argc, const char** argv) {
  standins::EngineOptions options;
  for (int i = 2; i < argc; ++i) {
    if (std::string(argv[i]) == "--ignore-fencing")
      options.checks_fencing = false;
    if (std::string(argv[i]) == "--fast") {
      options.token_interval = std::chrono::microseconds(0);
      options.first_token_base = std::chrono::microseconds(0);
      options.prefill_per_token = std::chrono::microseconds(0);
      options.cold_completions = 0;
    }
  }
  g_model = std::make_unique<standins::EngineModel>(options);
  return standins::Serve(argc, argv, &Handle);
}
