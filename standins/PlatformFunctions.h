#pragma once

#include "standins/BackendSession.h"

#include <optional>
#include <string>
#include <vector>

namespace foxtail::standins {

// Runs the statement when it is "SELECT platform_x(...)" or "SELECT ... FROM platform_x(...)" of a known function, and returns
// nothing otherwise. Throws SqlError when the function refuses.
std::optional<StatementOutcome> callPlatformFunction(BackendSession&, const std::string& sql, const std::vector<SqlValue>& parameters);

}
