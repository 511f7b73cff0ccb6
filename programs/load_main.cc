#include <fstream>
#include <iostream>

#include "command_line.h"
#include "load/load_options.h"
#include "load/load_report.h"
#include "load/load_runner.h"

namespace {

bool WriteFile(const std::string& path, const std::string& text) {
  if (path.empty()) return true;
  std::ofstream file(path, std::ios::binary);
  file << text;
  file.close();
  if (!file.fail()) return true;
  std::cerr << path << ": cannot be written\n";
  return false;
}

}  // namespace

int main(int argc, const char** argv) {
  using namespace wasabiwall;  // NOLINT(google-build-using-namespace)
  const load::LoadOptions options = load::ParseLoadOptions(argc, argv);
  load::LoadReport report;
  load::LoadRunner(options, &report).Run();
  std::cout << report.Text();
  const bool written = WriteFile(options.json_file, report.Json()) &&
                       WriteFile(options.svg_file, report.Svg(options));
  if (!written) return programs::kExitUsage;
  return report.Faults() == 0 ? programs::kExitOk : programs::kExitFailed;
}
