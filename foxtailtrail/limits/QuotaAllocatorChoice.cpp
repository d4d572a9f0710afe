#include "foxtailtrail/limits/QuotaAllocatorChoice.h"

#include "foxtailtrail/base/Hash.h"

#include <algorithm>

namespace foxtail {

namespace {

    // Processes that started within this time of each other count as equally old.
    constexpr Duration startTimeTolerance = std::chrono::seconds(2);
    // The VMs of a starting fleet have heard from each other, or of the chosen one, within this time.
    constexpr Duration startupPeriod = std::chrono::seconds(4);
    constexpr const char* quotaAllocatorKey = "quota";

}

std::optional<VmId> chooseQuotaAllocator(const std::vector<QuotaAllocatorCandidate>& candidates, TimePoint ownStartedAt, TimePoint now)
{
    const auto startOf = [&](const QuotaAllocatorCandidate& candidate) {
        const bool mayAssumeStart = now < ownStartedAt + startupPeriod;
        return candidate.startedAt || !mayAssumeStart ? candidate.startedAt : std::optional(ownStartedAt);
    };
    TimePoint oldestStartAt = TimePoint::max();
    for (const QuotaAllocatorCandidate& candidate : candidates)
        oldestStartAt = std::min(oldestStartAt, startOf(candidate).value_or(TimePoint::max()));
    const QuotaAllocatorCandidate* best = nullptr;
    double bestScore = 0;
    for (const QuotaAllocatorCandidate& candidate : candidates) {
        const std::optional<TimePoint> startedAt = startOf(candidate);
        if (!startedAt || oldestStartAt + startTimeTolerance < *startedAt)
            continue;
        const double score
            = weightedRendezvousScore(quotaAllocatorKey, candidate.vm.value, candidate.processorShare * candidate.processorShare);
        if (!best || score > bestScore) {
            best = &candidate;
            bestScore = score;
        }
    }
    return best ? std::optional(best->vm) : std::nullopt;
}

}
