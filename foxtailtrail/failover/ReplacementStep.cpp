#include "foxtailtrail/failover/ReplacementStep.h"

#include <array>

namespace foxtail {

std::string_view replicationCommandName(ReplicationCommand command)
{
    constexpr std::array<std::string_view, 4> names { "status", "pause", "resume", "demote" };
    return names[static_cast<size_t>(command)];
}

std::string_view replacementResultName(ReplacementResult result)
{
    constexpr std::array<std::string_view, 7> names { "running", "primary-kept", "replaced", "no-successor", "order-unknown", "lock-ended",
        "primary-serves-others" };
    return names[static_cast<size_t>(result)];
}

}
