#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/StoreVersion.h"
#include "foxtailtrail/base/Time.h"

#include <map>
#include <vector>

namespace foxtail {

// A row of the store by which the operators have a data centre evacuated, or the row's removal.
struct EvacuationRow {
    DataCentre dataCentre;
    StoreVersion version;
    bool isRemoved = false;
};

// All evacuated data centres as of a version of the store, as one VM passes them on to another.
struct EvacuationState {
    StoreVersion asOf;
    std::vector<DataCentre> dataCentres;
};

// The data centres whose servers receive no more statements, as the operators have declared in the store. Rows come from the store, and the
// whole state from other VMs while the store does not serve this VM; nothing older replaces what is newer.
//
// Load that it answers: a burst of statements while a data centre is evacuated. No statement waits for the evacuation: from the moment at
// which it is known, reads go elsewhere; the settling period is left to the primaries there, to hand over, and to open transactions, to
// end. After it, the evacuation is in force and nothing is sent to a server of the data centre.
class EvacuationTable {
public:
    explicit EvacuationTable(Duration period)
        : settlingPeriod(period)
    {
    }

    // Applies all rows of the store as of a version. A list of an older version is ignored, except in a later era of the store.
    void applyList(const std::vector<EvacuationRow>&, const StoreVersion& asOf, TimePoint now);
    // Applies the rows that have changed up to a version. Those that are part of what is known already change nothing.
    void applyChanges(const std::vector<EvacuationRow>&, const StoreVersion& asOf, TimePoint now);
    // Applies what another VM knows, unless it is not newer. Returns whether it was.
    bool applyState(const EvacuationState&, TimePoint now);

    // Returns whether the data centre is to be evacuated.
    bool isEvacuated(const DataCentre& dataCentre) const { return this->evacuations.count(dataCentre) > 0; }
    // Returns whether nothing may be sent to the servers of the data centre any more.
    bool isInForce(const DataCentre&, TimePoint now) const;
    bool isEmpty() const { return this->evacuations.empty(); }
    EvacuationState state() const;
    // The version of the store up to which the evacuations are known.
    const StoreVersion& knownAsOf() const { return this->asOf; }
    // The version of the store with which the set last changed. A VM that knows an earlier version only has to ask another one.
    const StoreVersion& changedAt() const { return this->lastChange; }

private:
    // Replaces the set and returns whether it differs.
    bool replace(const std::vector<DataCentre>&, TimePoint now);

    Duration settlingPeriod;
    // The evacuated data centres, and when each evacuation is in force.
    std::map<DataCentre, TimePoint> evacuations;
    StoreVersion asOf;
    StoreVersion lastChange;
};

}
