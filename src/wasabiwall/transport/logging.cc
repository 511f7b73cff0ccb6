#include "wasabiwall/transport/logging.h"

#include <log4cplus/appender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <memory>
#include <sstream>

#include "wasabiwall/transport/log_output.h"

namespace wasabiwall::transport {
namespace {

bool IsPlain(const std::string& value) {
  return !value.empty() &&
         std::all_of(value.begin(), value.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' ||
                  c == '/' || c == ':';
         });
}

std::string QuoteIfNeeded(const std::string& value) {
  if (IsPlain(value)) return value;
  std::string quoted = "\"";
  for (const unsigned char c : value) {
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += c < ' ' ? ' ' : static_cast<char>(c);
  }
  return quoted + "\"";
}

std::string FormatLine(const std::string& event,
                       const std::vector<LogField>& fields) {
  std::string line = "event=" + event;
  for (const LogField& field : fields) {
    line += " " + field.name + "=" + QuoteIfNeeded(field.value);
  }
  return line;
}

LogOutput& Output() {
  static LogOutput output(STDOUT_FILENO, coordination::SteadyClock());
  return output;
}

/// Writes formatted lines to the log output.
class OutputAppender : public log4cplus::Appender {
 public:
  ~OutputAppender() override { destructorImpl(); }
  void close() override { closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    std::ostringstream line;
    layout->formatAndAppend(line, event);
    Output().Write(line.str());
  }
};

log4cplus::Logger RootLogger() { return log4cplus::Logger::getRoot(); }

}  // namespace

void StartLogging(const std::string& level, const std::string& process) {
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr appender(new OutputAppender);
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p process=" + process + " %m%n"));
  std::string upper = level;
  std::transform(upper.begin(), upper.end(), upper.begin(),
                 [](unsigned char c) { return std::toupper(c); });
  RootLogger().setLogLevel(log4cplus::getLogLevelManager().fromString(upper));
  RootLogger().addAppender(appender);
}

void BufferLogs() { Output().SetBuffered(true); }

void FlushLogs() { Output().Flush(); }

std::int64_t DroppedLogLines() { return Output().Dropped(); }

void LogDebug(const std::string& event, const std::vector<LogField>& fields) {
  LOG4CPLUS_DEBUG(RootLogger(), FormatLine(event, fields));
}

void LogInfo(const std::string& event, const std::vector<LogField>& fields) {
  LOG4CPLUS_INFO(RootLogger(), FormatLine(event, fields));
}

void LogWarn(const std::string& event, const std::vector<LogField>& fields) {
  LOG4CPLUS_WARN(RootLogger(), FormatLine(event, fields));
}

void LogError(const std::string& event, const std::vector<LogField>& fields) {
  LOG4CPLUS_ERROR(RootLogger(), FormatLine(event, fields));
}

}  // namespace wasabiwall::transport
