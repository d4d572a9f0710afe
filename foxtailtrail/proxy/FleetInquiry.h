#pragma once

#include "foxtailtrail/base/Json.h"
#include "foxtailtrail/failover/FleetEvidence.h"
#include "foxtailtrail/proxy/PeerExchange.h"
#include "foxtailtrail/proxy/SessionProxy.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace foxtail {

// Asks the other VMs what they know about a group before its primary is replaced, and answers such questions. A question and a report are
// datagrams; a VM answers from memory.
class FleetInquiry {
public:
    // A larger fleet is asked in part, so that its evidence stays incomplete and no server is left out because of it.
    static constexpr size_t maxAskedVms = 512;

    FleetInquiry(SessionProxy&, PeerExchange&);

    // Asks all VMs of the fleet about a group. Their reports are added to the evidence as they arrive, and that of this VM at once. With
    // holdsBackCommits, the VMs are asked to send no commits for a while.
    void ask(const ServiceName&, bool holdsBackCommits, const std::shared_ptr<FleetEvidence>&);
    // Returns from when on this VM remembers the commits that it has acknowledged.
    TimePoint remembersFrom() const { return this->startedAt; }

private:
    // The newest question about a group.
    struct Question {
        uint64_t number = 0;
        TimePoint askedAt {};
        std::weak_ptr<FleetEvidence> evidence;
    };
    void handleMessage(std::string_view kind, const VmId&, const json::object&, const PeerExchange::ReplyFunction&);
    void answer(const json::object& question, const PeerExchange::ReplyFunction&);
    void recordReport(const VmId&, const json::object&);

    SessionProxy& proxy;
    PeerExchange& peers;
    TimePoint startedAt {};
    uint64_t lastNumber = 0;
    std::map<ServiceName, Question> questions;
};

// Encodes a report with the ages of its times at the time of sending.
json::object encodeGroupReport(const GroupReport&, TimePoint now);
// Decodes a report. Returns an empty optional, with a log line, when a member is missing or malformed.
std::optional<GroupReport> decodeGroupReport(const VmId&, const json::object&, TimePoint askedAt, TimePoint receivedAt);

}
