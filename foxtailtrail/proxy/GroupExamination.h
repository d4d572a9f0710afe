#pragma once

#include "foxtailtrail/proxy/PromotionCoordinator.h"

#include <string_view>

namespace foxtail {

// Examines a group once: probes its servers, adopts a primary that this VM did not know, and replaces the primary when that is needed and
// safe. Blocks the calling fiber.
void runGroupExamination(PromotionCoordinator&, const ServiceName&, std::string_view reason);

}
