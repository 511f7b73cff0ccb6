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

/// Schema of one field of a TOML table.
struct FieldSpec {
  std::string name;
  FieldType type = FieldType::kString;
  bool required = false;
  /// Inclusive bounds of a number.
  double min = 0;
  double max = 9e15;
  /// Allowed values of a string; empty allows any.
  std::vector<std::string> choices;
  /// Fields of a table or of each table in an array.
  std::vector<FieldSpec> fields;
};

/// @return Schema of a table with these fields.
FieldSpec TableSpec(const std::string& name, bool required,
                    std::vector<FieldSpec> fields);

/// An error in a TOML file with its location.
struct TomlProblem {
  std::string file;
  int line = 0;
  std::string key;
  std::string reason;

  /// @return `file:line: key: reason`.
  std::string Text() const;
};

/// Line number of each key of a file by key path, such as `pool[0].name`; the
/// path of an element of an array of tables is `pool[0]`.
using TomlLines = std::unordered_map<std::string, int>;

/// Parses a TOML text and validates it against a schema.
/// @param text Content of the file.
/// @param file File name for messages.
/// @param schema Fields of the root table; any other key is a problem.
/// @param lines Receives the line number of each key, unless null.
/// @return The content as JSON, or every problem found.
tl::expected<nlohmann::json, std::vector<TomlProblem>> ParseToml(
    std::string_view text, const std::string& file,
    const std::vector<FieldSpec>& schema, TomlLines* lines = nullptr);

}  // namespace wasabiwall::protocol
