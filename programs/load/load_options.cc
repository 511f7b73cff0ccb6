#include "load/load_options.h"

#include <popt.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

#include "command_line.h"

namespace wasabiwall::load {
namespace {

constexpr int kMaxSeconds = 600;
constexpr double kMaxRate = 2000;

std::vector<std::string> Split(const char* text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream(text != nullptr ? text : "");
  std::string part;
  while (std::getline(stream, part, separator)) {
    if (!part.empty()) parts.push_back(part);
  }
  return parts;
}

[[noreturn]] void Refuse(const std::string& reason) {
  std::cerr << reason << "\n";
  std::exit(programs::kExitUsage);
}

void RequireLoopback(const std::string& url) {
  for (const char* const prefix :
       {"http://127.", "http://localhost:", "http://[::1]:"}) {
    if (url.rfind(prefix, 0) == 0) return;
  }
  Refuse(url + ": only loopback addresses are allowed");
}

std::vector<BatchOption> ParseBatches(const char* text) {
  std::vector<BatchOption> batches;
  for (const std::string& part : Split(text, ',')) {
    const auto fields = Split(part.c_str(), ':');
    if (fields.size() != 2) Refuse(part + ": a batch is SECOND:CHATS");
    batches.push_back({std::chrono::seconds(std::atoi(fields[0].c_str())),
                       std::atoi(fields[1].c_str())});
  }
  return batches;
}

std::vector<MarkOption> ParseMarks(const char* text) {
  std::vector<MarkOption> marks;
  for (const std::string& part : Split(text, ',')) {
    const std::size_t colon = part.find(':');
    if (colon == std::string::npos) Refuse(part + ": a mark is SECOND:TEXT");
    marks.push_back({std::chrono::seconds(std::atoi(part.c_str())),
                     part.substr(colon + 1)});
  }
  return marks;
}

void Check(const LoadOptions& options) {
  if (options.entries.empty()) Refuse("--entries URL[,URL…] is required");
  if (options.token.empty()) Refuse("--token or WASABIWALL_TOKEN is required");
  for (const std::string& url : options.entries) RequireLoopback(url);
  for (const std::string& url : options.side_metrics) RequireLoopback(url);
  if (options.duration.count() < 1 || options.duration.count() > kMaxSeconds) {
    Refuse("--seconds: 1 to 600");
  }
  for (const double rate :
       {options.chats_per_second, options.bookings_per_second,
        options.look_ups_per_second}) {
    if (rate < 0 || rate > kMaxRate) Refuse("a rate is 0 to 2000 a second");
  }
}

}  // namespace

LoadOptions ParseLoadOptions(int argc, const char** argv) {
  LoadOptions options;
  char *entries = nullptr, *sides = nullptr, *token = nullptr;
  char *batches = nullptr, *marks = nullptr, *json = nullptr, *svg = nullptr;
  int seconds = static_cast<int>(options.duration.count());
  int think = static_cast<int>(options.think_time.count());
  int seed = static_cast<int>(options.seed);
  const poptOption table[] = {
      {"entries", 'e', POPT_ARG_STRING, &entries, 0, "base URLs of entries",
       "URL[,URL]"},
      {"side-metrics", 0, POPT_ARG_STRING, &sides, 0,
       "metrics URLs of side processes, for the skew", "URL[,URL]"},
      {"token", 't', POPT_ARG_STRING, &token, 0,
       "workspace token (WASABIWALL_TOKEN)", "TOKEN"},
      {"seconds", 's', POPT_ARG_INT, &seconds, 0,
       "time in which calls arrive, 1 to 600", "N"},
      {"chats", 0, POPT_ARG_DOUBLE, &options.chats_per_second, 0,
       "new chats a second", "RATE"},
      {"bookings", 0, POPT_ARG_DOUBLE, &options.bookings_per_second, 0,
       "bookings a second", "RATE"},
      {"look-ups", 0, POPT_ARG_DOUBLE, &options.look_ups_per_second, 0,
       "look-ups a second", "RATE"},
      {"turns", 0, POPT_ARG_INT, &options.turns, 0, "turns of a chat", "N"},
      {"think-ms", 0, POPT_ARG_INT, &think, 0,
       "mean pause before a chat returns", "MS"},
      {"max-tokens", 0, POPT_ARG_INT, &options.max_tokens, 0,
       "length of an answer", "N"},
      {"prompt-words", 0, POPT_ARG_INT, &options.prompt_words, 0,
       "length of a first message", "N"},
      {"batches", 0, POPT_ARG_STRING, &batches, 0, "chats that arrive at once",
       "SECOND:CHATS[,…]"},
      {"marks", 0, POPT_ARG_STRING, &marks, 0, "events shown in the plot",
       "SECOND:TEXT[,…]"},
      {"seed", 0, POPT_ARG_INT, &seed, 0, "seed of arrivals", "N"},
      {"json", 0, POPT_ARG_STRING, &json, 0, "report as JSON", "FILE"},
      {"svg", 0, POPT_ARG_STRING, &svg, 0, "plot as SVG", "FILE"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
  const int result = poptGetNextOpt(context);
  if (result < -1) {
    Refuse(std::string(poptBadOption(context, 0)) + ": " +
           poptStrerror(result));
  }
  poptFreeContext(context);
  const char* const token_variable = std::getenv("WASABIWALL_TOKEN");
  options.entries = Split(entries, ',');
  options.side_metrics = Split(sides, ',');
  options.token = token != nullptr            ? token
                  : token_variable != nullptr ? token_variable
                                              : "";
  options.duration = std::chrono::seconds(seconds);
  options.think_time = std::chrono::milliseconds(think);
  options.seed = static_cast<std::uint64_t>(seed);
  options.batches = ParseBatches(batches);
  options.marks = ParseMarks(marks);
  options.json_file = json != nullptr ? json : "";
  options.svg_file = svg != nullptr ? svg : "";
  for (char* const text : {entries, sides, token, batches, marks, json, svg}) {
    std::free(text);
  }
  Check(options);
  return options;
}

}  // namespace wasabiwall::load
