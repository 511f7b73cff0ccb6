#pragma once

#include <functional>
#include <memory>
#include <string>

#include "wasabiwall/transport/http_server.h"

namespace wasabiwall::standins {

using Handler = transport::ServerHandler;

/// Serves a stand-in until SIGTERM.
/// @param argc, argv Command line; the first argument is `ip:port`.
/// @return Exit code.
int Serve(int argc, const char** argv, const Handler& handler);

/// Value of a field in a query string such as `?a=1&b=2`.
std::string QueryField(const std::string& query, const std::string& name);

/// Sends JSON text with status 200.
void SendJson(transport::ServerResponse* response, const std::string& json);

}  // namespace wasabiwall::standins
