#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace wasabiwall::load {

/// A batch of chats that arrives all at once.
struct BatchOption {
  std::chrono::seconds at{0};
  int chats = 0;
};

/// An event that the plot shows.
struct MarkOption {
  std::chrono::seconds at{0};
  std::string text;
};

/// What to send, where, and where to report.
struct LoadOptions {
  std::vector<std::string> entries;
  std::vector<std::string> side_metrics;
  std::string token;
  std::string model = "assist";
  std::string service = "ramps";
  std::string booking_call = "book";
  std::string look_up_call = "find";
  std::chrono::seconds duration{10};
  double chats_per_second = 5;
  double bookings_per_second = 1;
  double look_ups_per_second = 1;
  int turns = 3;
  std::chrono::milliseconds think_time{1000};
  int max_tokens = 16;
  int prompt_words = 200;
  std::uint64_t seed = 1;
  std::vector<BatchOption> batches;
  std::vector<MarkOption> marks;
  std::string json_file;
  std::string svg_file;
};

/// Reads the command line; ends the process for --help and wrong use.
LoadOptions ParseLoadOptions(int argc, const char** argv);

}  // namespace wasabiwall::load
