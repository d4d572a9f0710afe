#include "foxtailtrail/limits/QuotaAllocatorChoice.h"

#include <gtest/gtest.h>
#include <set>
#include <string>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const TimePoint start { seconds(100) };

    std::vector<QuotaAllocatorCandidate> listedVms(size_t count)
    {
        std::vector<QuotaAllocatorCandidate> candidates;
        for (size_t index = 0; index < count; ++index)
            candidates.push_back({ VmId("vm" + std::to_string(index)), index % 16 == 3 ? 0.5 : 0.12, std::nullopt });
        return candidates;
    }

    // Guards against a fleet whose VMs each take themselves for the allocator after a restart of all, and refuse nearly everything on
    // their share of the rates. On wattle-auditions-large this refused some 12,000 tries in the two seconds after the restart.
    TEST(QuotaAllocatorChoiceTest, AgreesOnListedVmAfterRestartOfTheFleet)
    {
        std::set<VmId> chosen;
        for (size_t self = 0; self < 300; ++self) {
            std::vector<QuotaAllocatorCandidate> candidates = listedVms(300);
            // Each VM knows its own start, and has heard from a few others that started at about the same time.
            const TimePoint ownStartedAt = start + milliseconds(self % 300);
            candidates[self].startedAt = ownStartedAt;
            for (size_t heard = 0; heard < self % 4; ++heard)
                candidates[(self * 7 + heard * 31) % 300].startedAt = start + milliseconds(heard * 80);
            chosen.insert(chooseQuotaAllocator(candidates, ownStartedAt, ownStartedAt).value());
        }
        EXPECT_EQ(chosen.size(), 1U);
    }

    // Guards against a VM that has just started and draws the others away from an allocator that knows its outstanding grants.
    TEST(QuotaAllocatorChoiceTest, PrefersOldProcesses)
    {
        std::vector<QuotaAllocatorCandidate> candidates = listedVms(20);
        candidates[7].startedAt = start - seconds(60);
        EXPECT_EQ(chooseQuotaAllocator(candidates, start, start), VmId("vm7"));
        EXPECT_FALSE(chooseQuotaAllocator({}, start, start));
    }

    // Guards against a new VM that is taken for an old process because nothing has been heard from it.
    TEST(QuotaAllocatorChoiceTest, IgnoresUnknownProcessesInRunningFleet)
    {
        std::vector<QuotaAllocatorCandidate> candidates = listedVms(20);
        EXPECT_FALSE(chooseQuotaAllocator(candidates, start, start + seconds(30)));
        candidates[2].startedAt = start + seconds(1);
        EXPECT_EQ(chooseQuotaAllocator(candidates, start, start + seconds(30)), VmId("vm2"));
    }

    // Guards against an allocator of the whole fleet on one of the small VMs.
    TEST(QuotaAllocatorChoiceTest, PrefersLargeVms)
    {
        size_t largeCount = 0;
        for (size_t fleet = 0; fleet < 100; ++fleet) {
            std::vector<QuotaAllocatorCandidate> candidates;
            for (size_t index = 0; index < 32; ++index)
                candidates.push_back({ VmId(std::to_string(fleet) + "-" + std::to_string(index)), index % 2 == 0 ? 0.5 : 0.12, start });
            const VmId chosen = chooseQuotaAllocator(candidates, start, start).value();
            largeCount += (chosen.value.back() - '0') % 2 == 0 ? 1 : 0;
        }
        EXPECT_GE(largeCount, 85U);
    }

}

}
