#pragma once

#include "standins/ReplicatedDatabase.h"

#include <string>
#include <string_view>
#include <vector>

namespace foxtail::standins {

// Returns the statements of a log entry as JSON text: [{"sql":"...","parameters":["..."|null,...]},...].
std::string formatStatements(const std::vector<LoggedStatement>&);

// Parses the text that formatStatements() returns. Throws when the text has another format.
std::vector<LoggedStatement> parseStatements(std::string_view text);

}
