#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wasabiwall::transport {

/// One field of a structured log line.
struct LogField {
  std::string name;
  std::string value;
};

/// Sets up logging to standard output. Lines beyond the rate limit, and lines
/// that the reader does not accept, are dropped and counted.
/// @param level `trace`, `debug`, `info`, `warn` or `error`.
/// @param process Name of the process, on every line.
void StartLogging(const std::string& level, const std::string& process);

/// Buffers lines until FlushLogs is called or enough have gathered, so that a
/// busy loop writes them in batches.
void BufferLogs();

/// Writes the buffered lines.
void FlushLogs();

/// @return Lines dropped since the start.
std::int64_t DroppedLogLines();

/// Logs an event with its fields as `event=… name=value …`; values with special
/// characters are quoted.
void LogDebug(const std::string& event, const std::vector<LogField>& fields);
void LogInfo(const std::string& event, const std::vector<LogField>& fields);
void LogWarn(const std::string& event, const std::vector<LogField>& fields);
void LogError(const std::string& event, const std::vector<LogField>& fields);

}  // namespace wasabiwall::transport
