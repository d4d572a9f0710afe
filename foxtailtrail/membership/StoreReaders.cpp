#include "foxtailtrail/membership/StoreReaders.h"

#include "foxtailtrail/base/Hash.h"

#include <algorithm>
#include <utility>

namespace foxtail {

namespace {

    // In a smaller data centre every VM reads the store itself.
    constexpr size_t minVmsForReaders = 8;
    constexpr size_t readersPerDataCentre = 2;
    constexpr Duration initialExclusionLifetime = std::chrono::seconds(4);
    constexpr unsigned maxExclusionDoublings = 4;
    // Key of the rendezvous order among VMs of equal processor share.
    constexpr const char* readerKey = "store-reader";

}

void StoreReaders::setCandidates(std::vector<StoreReaderCandidate> candidates)
{
    this->readers.clear();
    this->isSelfReader = false;
    if (candidates.size() < minVmsForReaders)
        return;
    // Every VM computes the same order without exchanging messages, the largest VMs first.
    const auto rankOf = [](const StoreReaderCandidate& candidate) {
        return std::pair(candidate.processorShare, rendezvousScore(readerKey, candidate.vm.value));
    };
    std::partial_sort(candidates.begin(), candidates.begin() + readersPerDataCentre, candidates.end(),
        [&](const StoreReaderCandidate& left, const StoreReaderCandidate& right) { return rankOf(left) > rankOf(right); });
    for (size_t index = 0; index < readersPerDataCentre; ++index)
        this->readers.push_back(candidates[index].vm);
    this->isSelfReader = std::find(this->readers.begin(), this->readers.end(), this->self) != this->readers.end();
    if (this->isSelfReader)
        this->readers.clear();
}

std::optional<VmId> StoreReaders::readerAt(TimePoint now) const
{
    // The VMs are spread over the readers by a hash.
    std::optional<VmId> best;
    uint64_t bestScore = 0;
    for (const VmId& reader : this->readers) {
        const auto failure = this->failures.find(reader);
        if (failure != this->failures.end() && now < failure->second.excludedUntil)
            continue;
        const uint64_t score = rendezvousScore(this->self.value, reader.value);
        if (!best || score > bestScore) {
            best = reader;
            bestScore = score;
        }
    }
    return best;
}

void StoreReaders::recordFailure(const VmId& reader, TimePoint now)
{
    Failure& failure = this->failures[reader];
    failure.excludedUntil = now + initialExclusionLifetime * (1 << std::min(failure.count++, maxExclusionDoublings));
}

}
