#include "foxtailtrail/limits/QuotaAllocatorChoice.h"

#include "foxtailtrail/base/Hash.h"

#include <algorithm>
#include <tuple>

namespace foxtail {

namespace {

    constexpr size_t maxPrecedingCandidates = 16;
    constexpr Duration initialExclusionLifetime = std::chrono::milliseconds(500);
    constexpr unsigned maxExclusionDoublings = 5;
    // A VM that has not been heard from is tried again after this time.
    constexpr Duration silenceLifetime = std::chrono::seconds(30);
    // A VM that announces its stop has exited within this time.
    constexpr Duration stopLifetime = std::chrono::seconds(6);
    // A VM that joins the fleet does not allocate for this time.
    constexpr Duration joiningLifetime = std::chrono::seconds(2);
    constexpr const char* allocatorKey = "quota";

}

void QuotaAllocatorChoice::setCandidates(const std::vector<AllocatorCandidate>& candidates, TimePoint now)
{
    std::vector<std::tuple<double, uint64_t, VmId>> ranked;
    ranked.reserve(candidates.size());
    for (const AllocatorCandidate& candidate : candidates)
        ranked.emplace_back(candidate.processorShare, rendezvousScore(allocatorKey, candidate.vm.value), candidate.vm);
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::vector<VmId> updated;
    updated.reserve(ranked.size());
    for (const auto& [share, score, vm] : ranked)
        updated.push_back(vm);
    if (!this->order.empty()) {
        std::vector<VmId> known = this->order;
        std::sort(known.begin(), known.end());
        for (const VmId& vm : updated) {
            if (vm != this->self && !std::binary_search(known.begin(), known.end(), vm))
                this->unavailable[vm] = { now + joiningLifetime, now + joiningLifetime, TimePoint {}, 0 };
        }
    }
    this->order = std::move(updated);
    std::erase_if(this->unavailable,
        [&](const auto& each) { return std::find(this->order.begin(), this->order.end(), each.first) == this->order.end(); });
}

bool QuotaAllocatorChoice::isAvailable(const VmId& vm, TimePoint now) const
{
    const auto found = this->unavailable.find(vm);
    if (found == this->unavailable.end())
        return true;
    const Unavailability& state = found->second;
    return now >= state.excludedUntil && (state.heardAt > state.since || now >= state.since + silenceLifetime);
}

std::optional<VmId> QuotaAllocatorChoice::allocatorAt(TimePoint now, bool mayAllocateItself) const
{
    for (const VmId& vm : this->order) {
        if (vm == this->self ? mayAllocateItself : this->isAvailable(vm, now))
            return vm;
    }
    return mayAllocateItself ? std::optional(this->self) : std::nullopt;
}

void QuotaAllocatorChoice::recordUnresponsive(const VmId& vm, TimePoint now)
{
    Unavailability& state = this->unavailable[vm];
    state.since = now;
    state.excludedUntil = now + initialExclusionLifetime * (1 << std::min(state.failureCount++, maxExclusionDoublings));
}

void QuotaAllocatorChoice::recordStop(const VmId& vm, TimePoint now)
{
    Unavailability& state = this->unavailable[vm];
    state.since = now;
    state.excludedUntil = now + stopLifetime;
}

void QuotaAllocatorChoice::recordNotReady(const VmId& vm, TimePoint now)
{
    Unavailability& state = this->unavailable[vm];
    state.since = std::max(state.since, now);
}

void QuotaAllocatorChoice::recordHeard(const VmId& vm, TimePoint heardAt)
{
    const auto found = this->unavailable.find(vm);
    if (found != this->unavailable.end())
        found->second.heardAt = std::max(found->second.heardAt, heardAt);
}

std::vector<VmId> QuotaAllocatorChoice::precedingCandidates() const
{
    const auto own = std::find(this->order.begin(), this->order.end(), this->self);
    const auto count = std::min(static_cast<std::ptrdiff_t>(maxPrecedingCandidates), own - this->order.begin());
    return { this->order.begin(), this->order.begin() + count };
}

}
