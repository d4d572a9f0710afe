#pragma once

#include "foxtailtrail/base/Time.h"

#include <string>

namespace foxtail {

// Returns the detail of a refusal that tells the caller after how many milliseconds it may repeat the operation.
inline std::string retryAfterDetail(Duration delay) { return "retry-after-ms=" + std::to_string(toMilliseconds(delay)); }

}
