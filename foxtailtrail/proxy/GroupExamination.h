#pragma once

#include "foxtailtrail/proxy/PromotionCoordinator.h"

#include <string_view>

namespace foxtail {

// Examines a group once: probes its servers, learns of a primary that this VM did not know of, and replaces the primary where that
// is needed and safe. Blocks the calling fiber.
void runGroupExamination(PromotionCoordinator&, const ServiceName&, std::string_view reason);

}
