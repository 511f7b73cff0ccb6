#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "wasabiwall/protocol/toml_schema.h"

namespace wasabiwall::protocol {

/// Validates the values of a ticket that matches its schema, and the references
/// between its own items. References to items of the current configuration are
/// validated when the ticket is accepted.
/// @param root Content of the ticket.
/// @param file File name for messages.
/// @param lines Line number of each key.
/// @return Every problem found.
std::vector<TomlProblem> CheckTicketValues(const nlohmann::json& root,
                                           const std::string& file,
                                           const TomlLines& lines);

}  // namespace wasabiwall::protocol
