#pragma once

#include "standins/ReplicatedDatabase.h"

#include <string>
#include <string_view>
#include <vector>

namespace foxtail::standins {

// The statements of a log entry as JSON text: [{"sql":"...","parameters":["..."|null,...]},...].
std::string formatStatements(const std::vector<LoggedStatement>&);

// The reverse of formatStatements. Throws when the text has another shape.
std::vector<LoggedStatement> parseStatements(std::string_view text);

}
