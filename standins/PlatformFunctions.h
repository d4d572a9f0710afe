#pragma once

#include "standins/BackendSession.h"

#include <optional>
#include <string>
#include <vector>

namespace foxtail::standins {

// Runs the statement if it is "SELECT platform_x(...)" or "SELECT ... FROM platform_x(...)" with a known function, and returns
// std::nullopt otherwise. Throws SqlError when the function fails.
std::optional<StatementOutcome> callPlatformFunction(BackendSession&, const std::string& sql, const std::vector<SqlValue>& parameters);

}
