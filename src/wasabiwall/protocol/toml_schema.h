#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

namespace wasabiwall::protocol {

/// Type of a TOML field.
enum class FieldType {
  kString,
  kInteger,
  kNumber,
  kBoolean,
  kStrings,
  kTable,
  kTables
};

/// What one field of a TOML table may hold.
struct FieldSpec {
  std::string name;
  FieldType type = FieldType::kString;
  bool required = false;
  /// Bounds of a number, both allowed.
  double min = 0;
  double max = 9e15;
  /// Allowed values of a string; empty allows any.
  std::vector<std::string> choices;
  /// Fields of a table or of each table in an array.
  std::vector<FieldSpec> fields;
};

/// @return A table with these fields.
FieldSpec TableSpec(const std::string& name, bool required,
                    std::vector<FieldSpec> fields);

/// A fault in a TOML file with its place.
struct TomlProblem {
  std::string file;
  int line = 0;
  std::string key;
  std::string reason;

  /// @return `file:line: key: reason`.
  std::string Text() const;
};

/// Line of each key of a file, by its path such as `pool[0].name`; an element
/// of an array of tables is under `pool[0]`.
using TomlLines = std::unordered_map<std::string, int>;

/// Parses and checks a TOML text.
/// @param text The file's content.
/// @param file File name for messages.
/// @param schema Fields of the root table; others are refused.
/// @param lines Receives the line of each key, unless null.
/// @return The content as JSON, or every problem found.
tl::expected<nlohmann::json, std::vector<TomlProblem>> ParseToml(
    std::string_view text, const std::string& file,
    const std::vector<FieldSpec>& schema, TomlLines* lines = nullptr);

}  // namespace wasabiwall::protocol
