#include "load/load_report.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <sstream>

namespace wasabiwall::load {
namespace {

using nlohmann::json;

constexpr std::array<std::pair<CallType, const char*>, 3> kTypes = {{
    {CallType::kChat, "chats"},
    {CallType::kBooking, "bookings"},
    {CallType::kLookUp, "look_ups"},
}};
constexpr std::array<std::pair<Verdict, const char*>, 5> kVerdicts = {{
    {Verdict::kAnswered, "answered"},
    {Verdict::kRefused, "refused"},
    {Verdict::kFailed, "failed"},
    {Verdict::kLost, "lost"},
    {Verdict::kWrong, "wrong"},
}};

constexpr double kPlotWidth = 900;
constexpr double kPanelHeight = 150;
constexpr double kMargin = 50;

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const double index = share * static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(index)];
}

struct Point {
  double second;
  double value;
};

/// One panel of the plot.
void DrawPanel(std::ostringstream* svg, int row, const std::string& title,
               const std::vector<Point>& points, double seconds) {
  double highest = 1e-9;
  for (const Point& point : points) highest = std::max(highest, point.value);
  const double top = kMargin + row * (kPanelHeight + kMargin);
  const double bottom = top + kPanelHeight;
  *svg << "<text x='" << kMargin << "' y='" << top - 6 << "'>" << title
       << ", up to " << highest << "</text><rect x='" << kMargin << "' y='"
       << top << "' width='" << kPlotWidth << "' height='" << kPanelHeight
       << "' fill='none' stroke='#999'/>";
  for (const Point& point : points) {
    const double x = kMargin + kPlotWidth * point.second / seconds;
    const double y = bottom - kPanelHeight * point.value / highest;
    *svg << "<circle cx='" << x << "' cy='" << y << "' r='2' fill='#06c'/>";
  }
}

}  // namespace

void LoadReport::Add(const TimedRecord& record) {
  const std::lock_guard lock(m_mutex);
  m_records.push_back(record);
}

void LoadReport::AddSkew(const SkewSample& sample) {
  const std::lock_guard lock(m_mutex);
  m_skews.push_back(sample);
}

void LoadReport::CountRetry() {
  const std::lock_guard lock(m_mutex);
  ++m_retries;
}

std::string LoadReport::Progress() const {
  const std::lock_guard lock(m_mutex);
  std::map<Verdict, int> counts;
  for (const TimedRecord& timed : m_records) ++counts[timed.record.verdict];
  std::ostringstream line;
  for (const auto& [verdict, name] : kVerdicts) {
    line << name << " " << counts[verdict] << "  ";
  }
  return line.str();
}

std::string LoadReport::Text() const {
  const json report = json::parse(Json());
  std::ostringstream text;
  for (const auto& [type, name] : kTypes) {
    const json& part = report[name];
    text << name << ":";
    for (const auto& [verdict, verdict_name] : kVerdicts) {
      text << " " << verdict_name << " " << part[verdict_name];
    }
    text << ", first byte p50 " << part["first_byte_ms"]["p50"] << " p95 "
         << part["first_byte_ms"]["p95"] << " p99 "
         << part["first_byte_ms"]["p99"] << " ms, errors "
         << part["errors"].dump() << "\n";
  }
  text << "reuse of prompt tokens in returning chats: " << report["reuse"]
       << "\nskew (max load over mean) p50 " << report["skew"]["p50"] << " p99 "
       << report["skew"]["p99"] << " max " << report["skew"]["max"]
       << "\nretries " << report["retries"] << "\n";
  return text.str();
}

std::string LoadReport::Json() const {
  json report;
  for (const auto& [type, name] : kTypes) {
    const Summary summary = Summarize(type);
    json part;
    for (const auto& [verdict, verdict_name] : kVerdicts) {
      const auto found = summary.verdicts.find(verdict);
      part[verdict_name] = found == summary.verdicts.end() ? 0 : found->second;
    }
    part["first_byte_ms"] = {{"p50", Percentile(summary.first_byte_ms, 0.5)},
                             {"p95", Percentile(summary.first_byte_ms, 0.95)},
                             {"p99", Percentile(summary.first_byte_ms, 0.99)}};
    part["errors"] = summary.error_kinds;
    report[name] = part;
    if (type != CallType::kChat) continue;
    report["reuse"] = summary.prompt_tokens == 0
                          ? 0.0
                          : static_cast<double>(summary.cached_tokens) /
                                static_cast<double>(summary.prompt_tokens);
  }
  const std::lock_guard lock(m_mutex);
  std::vector<double> skews;
  skews.reserve(m_skews.size());
  for (const SkewSample& sample : m_skews) skews.push_back(sample.skew);
  report["skew"] = {{"p50", Percentile(skews, 0.5)},
                    {"p99", Percentile(skews, 0.99)},
                    {"max", Percentile(skews, 1.0)}};
  report["retries"] = m_retries;
  return report.dump(2);
}

std::string LoadReport::Svg(const LoadOptions& options) const {
  const std::lock_guard lock(m_mutex);
  std::vector<Point> first_bytes;
  std::vector<Point> skews;
  std::map<int, int> refusals;
  double seconds = static_cast<double>(options.duration.count());
  for (const TimedRecord& timed : m_records) {
    const double second = static_cast<double>(timed.arrived.count()) / 1000.0;
    seconds = std::max(seconds, second);
    if (timed.record.verdict == Verdict::kRefused) {
      ++refusals[static_cast<int>(second)];
    }
    const bool plotted = timed.type == CallType::kChat &&
                         timed.record.verdict == Verdict::kAnswered;
    if (!plotted) continue;
    first_bytes.push_back(
        {second,
         static_cast<double>(timed.record.first_byte.count()) / 1000.0});
  }
  for (const SkewSample& sample : m_skews) {
    skews.push_back(
        {static_cast<double>(sample.at.count()) / 1000.0, sample.skew});
  }
  std::vector<Point> refused;
  refused.reserve(refusals.size());
  for (const auto& [second, count] : refusals) {
    refused.push_back(
        {static_cast<double>(second), static_cast<double>(count)});
  }
  std::ostringstream svg;
  svg << "<svg xmlns='http://www.w3.org/2000/svg' width='1000' height='650' "
         "font-family='sans-serif' font-size='12'>"
         "<rect width='1000' height='650' fill='white'/>";
  DrawPanel(&svg, 0, "first byte of a chat, ms", first_bytes, seconds);
  DrawPanel(&svg, 1, "max load over mean", skews, seconds);
  DrawPanel(&svg, 2, "refusals in a second", refused, seconds);
  for (const MarkOption& mark : options.marks) {
    const double x =
        kMargin + kPlotWidth * static_cast<double>(mark.at.count()) / seconds;
    svg << "<line x1='" << x << "' x2='" << x
        << "' y1='50' y2='600' stroke='#c00'/><text x='" << x + 3
        << "' y='620' fill='#c00'>" << mark.text << "</text>";
  }
  svg << "</svg>\n";
  return svg.str();
}

int LoadReport::Faults() const {
  const std::lock_guard lock(m_mutex);
  return static_cast<int>(
      std::count_if(m_records.begin(), m_records.end(), [](const auto& timed) {
        return timed.record.verdict == Verdict::kLost ||
               timed.record.verdict == Verdict::kWrong;
      }));
}

LoadReport::Summary LoadReport::Summarize(CallType type) const {
  const std::lock_guard lock(m_mutex);
  Summary summary;
  for (const TimedRecord& timed : m_records) {
    if (timed.type != type) continue;
    const CallRecord& record = timed.record;
    ++summary.verdicts[record.verdict];
    if (!record.error_kind.empty()) ++summary.error_kinds[record.error_kind];
    if (record.verdict != Verdict::kAnswered) continue;
    summary.first_byte_ms.push_back(
        static_cast<double>(record.first_byte.count()) / 1000.0);
    if (!timed.returning) continue;
    summary.prompt_tokens += record.prompt_tokens;
    summary.cached_tokens += record.cached_tokens;
  }
  return summary;
}

}  // namespace wasabiwall::load
