#include "foxtailtrail/failover/MemberRecords.h"

#include <algorithm>

namespace foxtail {

std::optional<PrimaryRecord> MemberRecords::dueRecord(
    const GroupMembers& group, const std::optional<PrimaryRecord>& stored, const Rank& rank, TimePoint now)
{
    const bool isReplacing = stored && (!stored->isSettled || stored->server != group.primary);
    if (isReplacing || (stored && stored->members == group.members)) {
        this->differsSince.erase(group.service);
        return std::nullopt;
    }
    TimePoint& since = this->differsSince.try_emplace(group.service, now).first->second;
    if (now < since + rankDelay * static_cast<Duration::rep>(std::min(rank(), maxRankDelays)))
        return std::nullopt;
    // A write without a response, or one that another VM's precedes, is repeated only if the record still differs later.
    since = now + rankDelay;
    PrimaryRecord record = stored.value_or(PrimaryRecord { group.service, group.term, group.primary, true });
    if (stored)
        ++record.memberRevision;
    record.members = group.members;
    return record;
}

}
