#include "foxtailtrail/membership/StoreReaders.h"

#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>

namespace foxtail {

namespace {

    std::vector<StoreReaderCandidate> vmsOfDataCentre(size_t count)
    {
        std::vector<StoreReaderCandidate> candidates;
        for (size_t index = 0; index < count; ++index)
            candidates.push_back({ VmId("vm" + std::to_string(index)), index % 10 == 3 ? 0.5 : 0.12 });
        return candidates;
    }

    StoreReaders readersSeenBy(const VmId& vm, size_t vmCount)
    {
        StoreReaders readers(vm);
        readers.setCandidates(vmsOfDataCentre(vmCount));
        return readers;
    }

    // Guards against calls to the store that grow with the number of VMs: 295 VMs made 15 calls each in the first 16 seconds.
    TEST(StoreReadersTest, LetsTwoLargeVmsOfADataCentreReadTheStore)
    {
        std::map<VmId, size_t> usersByReader;
        size_t directCount = 0;
        for (const StoreReaderCandidate& candidate : vmsOfDataCentre(50)) {
            const auto reader = readersSeenBy(candidate.vm, 50).readerAt(TimePoint {});
            EXPECT_EQ(readersSeenBy(candidate.vm, 50).isReader(), !reader) << candidate.vm.value;
            if (reader)
                ++usersByReader[*reader];
            else
                ++directCount;
        }
        EXPECT_EQ(directCount, 2U);
        ASSERT_EQ(usersByReader.size(), 2U);
        for (const auto& [reader, users] : usersByReader) {
            EXPECT_EQ(reader.value.back(), '3') << "a small VM reads for the others";
            EXPECT_GE(users, 12U);
        }
    }

    // Guards against VMs of a small fleet that wait for each other.
    TEST(StoreReadersTest, ReadsStoreDirectlyInSmallDataCentre)
    {
        for (const StoreReaderCandidate& candidate : vmsOfDataCentre(7)) {
            EXPECT_FALSE(readersSeenBy(candidate.vm, 7).readerAt(TimePoint {}));
            EXPECT_FALSE(readersSeenBy(candidate.vm, 7).isReader());
        }
    }

    // Guards against a VM that goes on asking a reader that is gone.
    TEST(StoreReadersTest, ReplacesFailedReaderAndReturnsToIt)
    {
        StoreReaders readers = readersSeenBy(VmId("vm1"), 50);
        const TimePoint start {};
        const VmId first = *readers.readerAt(start);
        readers.recordFailure(first, start);
        const VmId second = *readers.readerAt(start);
        EXPECT_NE(first, second);
        readers.recordFailure(second, start);
        // This VM reads the store itself until a reader may be asked again.
        EXPECT_FALSE(readers.readerAt(start + std::chrono::seconds(3)));
        EXPECT_EQ(readers.readerAt(start + std::chrono::seconds(4)), first);
        readers.recordFailure(first, start + std::chrono::seconds(4));
        EXPECT_EQ(readers.readerAt(start + std::chrono::seconds(9)), second);
    }

}

}
