#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace foxtail {

// Where a backend server stands relative to this VM.
enum class Distance : uint8_t {
    SameDataCentre,
    SameRegion,
    OtherRegion,
};

// A server that may run a read.
struct ReadCandidate {
    BackendServerId server;
    Distance distance = Distance::SameDataCentre;
    // Free connections to it that the caller's organisation may use at once.
    bool hasFreeConnection = false;
    // Statements of this VM that run on it or wait for it.
    uint32_t outstanding = 0;
    uint32_t slots = 1;
};

// What this VM has seen of the servers' speed and trouble, and the choice of a server for a read.
class ReadServerSelector {
public:
    // Takes the time from sending a read to its answer.
    void recordReply(const BackendServerId&, Duration latency, TimePoint now);
    // Takes an answer that the server is behind, full, or failed; it is avoided for a time that grows with repetition.
    void deprioritize(const BackendServerId&, TimePoint now);
    void removeServer(const BackendServerId& id) { this->statistics.erase(id); }

    // The best candidate that is not excluded, or nothing. Servers in trouble are chosen only when no other is left.
    std::optional<BackendServerId> choose(
        const std::vector<ReadCandidate>&, const std::vector<BackendServerId>& excluded, TimePoint now) const;

private:
    struct ServerStatistics {
        // Moving average of the answer time in microseconds.
        double averageLatencyUs = 0;
        uint32_t consecutiveFailures = 0;
        TimePoint deprioritizedUntil {};
    };
    double score(const ReadCandidate&, double usualLatency, TimePoint now) const;

    std::map<BackendServerId, ServerStatistics> statistics;
};

}
