#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "wasabiwall/protocol/toml_schema.h"

namespace wasabiwall::protocol {

/// Checks the values of a ticket that has passed its schema, and the references
/// between its own items. References to items in force are checked when the
/// ticket is accepted.
/// @param root Content of the ticket.
/// @param file File name for messages.
/// @param lines Line of each key.
/// @return Every problem found.
std::vector<TomlProblem> CheckTicketValues(const nlohmann::json& root,
                                           const std::string& file,
                                           const TomlLines& lines);

}  // namespace wasabiwall::protocol
