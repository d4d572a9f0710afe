#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/replication/ServerDirectory.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace foxtail {

// What a VM knows about the members of a group whose primary leads.
struct GroupMembers {
    ServiceName service;
    BackendServerId primary;
    // The term that the primary itself reports.
    Term term;
    // The servers that may hold commits of the group, in the order of their ids.
    std::vector<BackendServerId> members;
};

// Decides when this VM writes the members of a group into the record of its primary. A VM that starts while entries of servers have lapsed
// learns from the record which servers of the group its list lacks. One VM is expected to write; the others follow one after the other
// while the record still differs.
class MemberRecords {
public:
    // How much longer a VM waits per rank in the order of the VMs that write.
    static constexpr Duration rankDelay = std::chrono::milliseconds(1000);
    static constexpr size_t maxRankDelays = 16;

    // Returns the rank of this VM in the order of the VMs that write the record of a group.
    using Rank = std::function<size_t()>;

    // Returns the record to be written in place of the stored one, or std::nullopt when that names the same members, when a replacement is
    // in progress, or while another VM is expected to write it. The rank is requested only if the members differ.
    std::optional<PrimaryRecord> dueRecord(
        const GroupMembers&, const std::optional<PrimaryRecord>& stored, const Rank& rank, TimePoint now);

private:
    // When the stored record was first found to differ, or was last written by this VM.
    std::map<ServiceName, TimePoint> differsSince;
};

}
