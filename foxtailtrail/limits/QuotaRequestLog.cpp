#include "foxtailtrail/limits/QuotaRequestLog.h"

#include <algorithm>

namespace foxtail {

namespace {

    // A reply takes about 20 ms across regions. The wait doubles once, as an allocator that has used up its processor quota replies up to
    // 100 ms later.
    constexpr Duration firstReplyTimeout = std::chrono::milliseconds(60);
    constexpr Duration nextReplyTimeout = std::chrono::milliseconds(120);
    // An allocator that leaves this many requests in a row without a reply does not respond.
    constexpr size_t maxUnansweredRequests = 3;
    // While many VMs start, each of them declines. A VM sends at most this many requests without a pause.
    constexpr size_t maxDeclinedInRow = 24;

}

uint64_t QuotaRequestLog::recordSent(const VmId& allocator, TimePoint now)
{
    if (!this->unanswered.empty() && this->unanswered.back().allocator != allocator)
        this->unanswered.clear();
    this->unanswered.push_back({ ++this->lastNumber, allocator, now });
    this->isDeclined = false;
    return this->lastNumber;
}

bool QuotaRequestLog::isReplyAwaited(TimePoint now) const
{
    if (this->unanswered.empty() || this->isDeclined)
        return false;
    return now < this->unanswered.back().sentAt + (this->unanswered.size() == 1 ? firstReplyTimeout : nextReplyTimeout);
}

std::optional<SentQuotaRequest> QuotaRequestLog::recordReply(uint64_t number)
{
    const auto answered = std::find_if(
        this->unanswered.begin(), this->unanswered.end(), [&](const SentQuotaRequest& request) { return request.number == number; });
    if (answered == this->unanswered.end())
        return std::nullopt;
    this->declinedInRow = 0;
    const SentQuotaRequest request = *answered;
    this->unanswered.erase(this->unanswered.begin(), std::next(answered));
    return request;
}

bool QuotaRequestLog::recordDeclined(const VmId& vm)
{
    if (this->unanswered.empty() || this->isDeclined || this->unanswered.back().allocator != vm)
        return false;
    if (++this->declinedInRow > maxDeclinedInRow) {
        this->declinedInRow = 0;
        return false;
    }
    // The VM responds, so that its earlier requests without a reply show nothing.
    this->unanswered.erase(this->unanswered.begin(), std::prev(this->unanswered.end()));
    this->isDeclined = true;
    return true;
}

std::optional<VmId> QuotaRequestLog::takeUnresponsiveAllocator(TimePoint now)
{
    if (this->unanswered.size() < maxUnansweredRequests || this->isReplyAwaited(now))
        return std::nullopt;
    const VmId allocator = this->unanswered.back().allocator;
    this->unanswered.clear();
    return allocator;
}

}
