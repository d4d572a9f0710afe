#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <map>
#include <vector>

namespace foxtail {

// Decides which relays are excluded because their connection was lost, and when a trial connection to them is due. It answers the load in
// which relays cannot be reached for seconds, because of a network partition or because they are down, while other VMs could serve the
// statements: a statement sent to such a relay waits until the connection attempt times out. A lost relay is therefore excluded until it
// has answered on a trial connection, which carries no statements.
class RelayTrials {
public:
    // Handles the loss of the connection to a relay. A VM that has announced its stop is tried later than one that has not.
    void recordLoss(const VmId&, bool isStopping, TimePoint now);
    // Handles a trial connection that could not be established or had no answer.
    void recordFailure(const VmId&, TimePoint now);
    // Handles the answer on a trial connection; the relay is no longer excluded.
    void recordAnswer(const VmId& vm) { this->lostRelays.erase(vm); }
    // Removes a VM that has left the fleet.
    void remove(const VmId& vm) { this->lostRelays.erase(vm); }

    bool isExcluded(const VmId& vm) const { return this->lostRelays.count(vm) > 0; }
    // Returns the relays for which a trial is due, and marks it as started.
    std::vector<VmId> takeDueTrials(TimePoint now);
    std::vector<VmId> excludedRelays() const;

private:
    struct LostRelay {
        // When the next trial is due; the maximum while a trial runs.
        TimePoint nextTrialAt {};
        unsigned failedTrials = 0;
    };
    std::map<VmId, LostRelay> lostRelays;
};

}
