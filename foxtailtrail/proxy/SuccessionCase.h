#pragma once

#include "foxtailtrail/proxy/SuccessionDuty.h"

#include <string_view>

namespace foxtail {

// Examines a group once: probes its servers, learns of a primary that this VM did not know of, and replaces the primary where that
// is needed and safe. Blocks the calling fiber.
void runSuccessionCase(SuccessionDuty&, const ServiceName&, std::string_view reason);

}
