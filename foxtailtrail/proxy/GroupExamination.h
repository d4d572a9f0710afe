#pragma once

#include "foxtailtrail/proxy/PromotionCoordinator.h"

#include <string_view>

namespace foxtail {

// How an examination of a group ended.
enum class ExaminationResult : uint8_t {
    Finished,
    // The primary serves other VMs, and only this VM does not reach it.
    PrimaryServesOthers,
};

// Examines a group once: probes its servers, adopts a primary that this VM did not know, and replaces the primary when that is needed and
// safe. Blocks the calling fiber.
ExaminationResult runGroupExamination(PromotionCoordinator&, const ServiceName&, std::string_view reason);

}
