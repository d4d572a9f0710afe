#include "foxtailtrail/base/Hash.h"
#include "foxtailtrail/config/Configuration.h"

namespace foxtail {

// Serves this program while the library has no definition of its own, which takes precedence.
__attribute__((weak)) uint32_t limitShardOf(const OrganisationId& organisation)
{
    return static_cast<uint32_t>(stableHash(organisation.value) % limitShardCount);
}

}
