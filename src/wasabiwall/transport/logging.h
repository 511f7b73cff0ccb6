#pragma once

#include <string>
#include <vector>

namespace wasabiwall::transport {

/// One field of a structured log line.
struct LogField {
  std::string name;
  std::string value;
};

/// Sets up logging to standard error.
/// @param level `trace`, `debug`, `info`, `warn` or `error`.
/// @param process Name of the process, on every line.
void StartLogging(const std::string& level, const std::string& process);

/// Logs an event with its fields as `event=… name=value …`; values with other
/// than plain characters are quoted.
void LogDebug(const std::string& event, const std::vector<LogField>& fields);
void LogInfo(const std::string& event, const std::vector<LogField>& fields);
void LogWarn(const std::string& event, const std::vector<LogField>& fields);
void LogError(const std::string& event, const std::vector<LogField>& fields);

}  // namespace wasabiwall::transport
