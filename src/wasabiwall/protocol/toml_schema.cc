#include "wasabiwall/protocol/toml_schema.h"

#include <toml++/toml.h>

#include <algorithm>
#include <sstream>

namespace wasabiwall::protocol {
namespace {

using Problems = std::vector<TomlProblem>;

std::string Join(const std::vector<std::string>& words) {
  std::string joined;
  for (const std::string& word : words) {
    if (!joined.empty()) joined += ", ";
    joined += word;
  }
  return joined;
}

std::string TypeName(FieldType type) {
  switch (type) {
    case FieldType::kString:
      return "a string";
    case FieldType::kInteger:
      return "an integer";
    case FieldType::kNumber:
      return "a number";
    case FieldType::kBoolean:
      return "true or false";
    case FieldType::kStrings:
      return "an array of strings";
    case FieldType::kTable:
      return "a table";
    case FieldType::kTables:
      return "an array of tables";
  }
  return "";
}

/// Validates a parsed file against a schema and collects its problems.
class SchemaValidator {
 public:
  SchemaValidator(std::string file, Problems* problems, TomlLines* lines)
      : m_file(std::move(file)), m_problems(problems), m_lines(lines) {}

  nlohmann::json CheckTable(const toml::table& table, const std::string& prefix,
                            const std::vector<FieldSpec>& schema) {
    nlohmann::json result = nlohmann::json::object();
    for (const auto& [key, node] : table) {
      const std::string name(key.str());
      const auto spec = std::find_if(
          schema.begin(), schema.end(),
          [&](const FieldSpec& field) { return field.name == name; });
      if (spec == schema.end()) {
        AddProblem(key.source().begin.line, prefix + name,
                   "unknown key; allowed: " + FieldNames(schema));
        continue;
      }
      RecordLine(prefix + name, key.source().begin.line);
      result[name] = CheckNode(node, prefix + name, *spec);
    }
    for (const FieldSpec& field : schema) {
      if (!field.required || table.contains(field.name)) continue;
      AddProblem(table.source().begin.line, prefix + field.name,
                 "missing; " + TypeName(field.type) + " is required");
    }
    return result;
  }

 private:
  static std::string FieldNames(const std::vector<FieldSpec>& schema) {
    std::vector<std::string> names;
    names.reserve(schema.size());
    for (const FieldSpec& field : schema) names.push_back(field.name);
    return Join(names);
  }

  void AddProblem(toml::source_index line, const std::string& key,
                  std::string reason) {
    m_problems->push_back(
        {m_file, static_cast<int>(line), key, std::move(reason)});
  }

  void RecordLine(const std::string& key, toml::source_index line) {
    if (m_lines != nullptr) (*m_lines)[key] = static_cast<int>(line);
  }

  nlohmann::json ReportWrongType(const toml::node& node, const std::string& key,
                                 const FieldSpec& spec) {
    AddProblem(node.source().begin.line, key, "must be " + TypeName(spec.type));
    return nullptr;
  }

  nlohmann::json CheckNode(const toml::node& node, const std::string& key,
                           const FieldSpec& spec) {
    switch (spec.type) {
      case FieldType::kString:
        return CheckString(node, key, spec);
      case FieldType::kInteger:
        if (!node.is_integer()) return ReportWrongType(node, key, spec);
        CheckRange(node, key, spec,
                   static_cast<double>(node.as_integer()->get()));
        return node.as_integer()->get();
      case FieldType::kNumber: {
        if (!node.is_number()) return ReportWrongType(node, key, spec);
        const double value = node.value<double>().value_or(0);
        CheckRange(node, key, spec, value);
        return value;
      }
      case FieldType::kBoolean:
        if (!node.is_boolean()) return ReportWrongType(node, key, spec);
        return node.as_boolean()->get();
      case FieldType::kStrings:
        return CheckStrings(node, key, spec);
      case FieldType::kTable:
        if (!node.is_table()) return ReportWrongType(node, key, spec);
        return CheckTable(*node.as_table(), key + ".", spec.fields);
      case FieldType::kTables:
        return CheckTables(node, key, spec);
    }
    return nullptr;
  }

  nlohmann::json CheckString(const toml::node& node, const std::string& key,
                             const FieldSpec& spec) {
    if (!node.is_string()) return ReportWrongType(node, key, spec);
    const std::string& value = node.as_string()->get();
    const bool allowed =
        spec.choices.empty() ||
        std::count(spec.choices.begin(), spec.choices.end(), value) > 0;
    if (!allowed) {
      AddProblem(node.source().begin.line, key,
                 "must be one of: " + Join(spec.choices));
    }
    if (spec.required && value.empty()) {
      AddProblem(node.source().begin.line, key, "must not be empty");
    }
    return value;
  }

  nlohmann::json CheckStrings(const toml::node& node, const std::string& key,
                              const FieldSpec& spec) {
    if (!node.is_array()) return ReportWrongType(node, key, spec);
    nlohmann::json values = nlohmann::json::array();
    for (const toml::node& element : *node.as_array()) {
      if (!element.is_string()) return ReportWrongType(element, key, spec);
      values.push_back(element.as_string()->get());
    }
    return values;
  }

  nlohmann::json CheckTables(const toml::node& node, const std::string& key,
                             const FieldSpec& spec) {
    if (!node.is_array()) return ReportWrongType(node, key, spec);
    nlohmann::json tables = nlohmann::json::array();
    for (const toml::node& element : *node.as_array()) {
      if (!element.is_table()) return ReportWrongType(element, key, spec);
      const std::string path = key + "[" + std::to_string(tables.size()) + "]";
      RecordLine(path, element.source().begin.line);
      tables.push_back(
          CheckTable(*element.as_table(), path + ".", spec.fields));
    }
    return tables;
  }

  void CheckRange(const toml::node& node, const std::string& key,
                  const FieldSpec& spec, double value) {
    if (value >= spec.min && value <= spec.max) return;
    std::ostringstream reason;
    reason << "must be between " << spec.min << " and " << spec.max;
    AddProblem(node.source().begin.line, key, reason.str());
  }

  std::string m_file;
  Problems* m_problems;
  TomlLines* m_lines;
};

}  // namespace

FieldSpec TableSpec(const std::string& name, bool required,
                    std::vector<FieldSpec> fields) {
  return {.name = name,
          .type = FieldType::kTable,
          .required = required,
          .fields = std::move(fields)};
}

std::string TomlProblem::Text() const {
  return file + ":" + std::to_string(line) + ": " +
         (key.empty() ? "" : key + ": ") + reason;
}

tl::expected<nlohmann::json, Problems> ParseToml(
    std::string_view text, const std::string& file,
    const std::vector<FieldSpec>& schema, TomlLines* lines) {
  Problems problems;
  try {
    const toml::table table = toml::parse(text, file);
    SchemaValidator validator(file, &problems, lines);
    nlohmann::json result = validator.CheckTable(table, "", schema);
    if (problems.empty()) return result;
  } catch (const toml::parse_error& error) {
    problems.push_back({file, static_cast<int>(error.source().begin.line), "",
                        std::string(error.description())});
  }
  return tl::make_unexpected(problems);
}

}  // namespace wasabiwall::protocol
