#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace foxtail {

// A VM of a data centre that may read the store for the others.
struct StoreReaderCandidate {
    VmId vm;
    double processorShare = 1;
};

// Decides from which VM of its data centre a VM receives the changes of the store. In a large data centre a few VMs read the store and
// pass the changes on, so that the calls to the store do not grow with the number of VMs. A VM without a usable reader reads the store
// itself.
class StoreReaders {
public:
    explicit StoreReaders(VmId self)
        : self(std::move(self))
    {
    }

    // Sets the VMs of the data centre, this one included.
    void setCandidates(std::vector<StoreReaderCandidate>);
    // Returns the reader for this VM, or std::nullopt when this VM reads the store itself.
    std::optional<VmId> readerAt(TimePoint now) const;
    // Returns true when other VMs of the data centre depend on this VM's reads of the store.
    bool isReader() const { return this->isSelfReader; }
    // Records that a reader did not answer or does not read the store itself. It is excluded for a time that grows with each failure.
    void recordFailure(const VmId&, TimePoint now);
    void recordSuccess(const VmId& reader) { this->failures.erase(reader); }

private:
    struct Failure {
        unsigned count = 0;
        TimePoint excludedUntil {};
    };
    VmId self;
    // The readers of the data centre. Empty in a small data centre, and on a reader itself.
    std::vector<VmId> readers;
    bool isSelfReader = false;
    std::map<VmId, Failure> failures;
};

}
