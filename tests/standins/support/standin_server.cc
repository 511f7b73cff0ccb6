#include "standins/support/standin_server.h"

#include <csignal>
#include <iostream>

namespace wasabiwall::standins {
namespace {

constexpr int kWorkers = 1024;

}  // namespace

int Serve(int argc, const char** argv, const Handler& handler) {
  if (argc < 2) {
    std::cerr << "usage: " << argv[0] << " ip:port [options]\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  transport::HttpServerOptions options;
  options.address = argv[1];
  options.http_threads = 4;
  options.worker_threads = kWorkers;
  options.max_body_bytes = 64 << 20;
  auto* server = new transport::HttpServer(options, handler);
  if (!server->Start()) {
    std::cerr << "cannot listen on " << argv[1] << "\n";
    return 1;
  }
  int received = 0;
  sigwait(&signals, &received);
  // A stand-in may hold streams open for long; it ends without waiting.
  std::_Exit(0);
}

std::string QueryField(const std::string& query, const std::string& name) {
  std::size_t start = 1;
  while (start < query.size()) {
    const std::size_t end = std::min(query.find('&', start), query.size());
    const std::string pair = query.substr(start, end - start);
    if (pair.compare(0, name.size() + 1, name + "=") == 0) {
      return pair.substr(name.size() + 1);
    }
    start = end + 1;
  }
  return "";
}

void SendJson(transport::ServerResponse* response, const std::string& json) {
  response->Send(200, "application/json", json, {});
}

}  // namespace wasabiwall::standins
