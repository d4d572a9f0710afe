#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace foxtail {

// The distance of a backend server from this VM.
enum class Distance : uint8_t {
    SameDataCentre,
    SameRegion,
    OtherRegion,
};

// A server that can run a read.
struct ReadCandidate {
    BackendServerId server;
    Distance distance = Distance::SameDataCentre;
    // Whether free connections to the server exist that the caller's organisation may use at once.
    bool hasFreeConnection = false;
    // Statements of this VM that run on the server or wait for it.
    uint32_t outstanding = 0;
    uint32_t slots = 1;
};

// The latency and failures that this VM has observed per server, and the choice of a server for a read.
class ReadServerSelector {
public:
    // Records the time from sending a read to its reply.
    void recordReply(const BackendServerId&, Duration latency, TimePoint now);
    // Handles a reply that the server lags, is full or has failed. The server is deprioritized for a time that grows with
    // consecutive failures.
    void deprioritize(const BackendServerId&, TimePoint now);
    void removeServer(const BackendServerId& id) { this->statistics.erase(id); }

    // Returns the best candidate that is not excluded, or std::nullopt. Deprioritized servers are chosen only when no other
    // is left.
    std::optional<BackendServerId> choose(
        const std::vector<ReadCandidate>&, const std::vector<BackendServerId>& excluded, TimePoint now) const;

private:
    struct ServerStatistics {
        // Moving average of the latency in microseconds.
        double averageLatencyUs = 0;
        uint32_t consecutiveFailures = 0;
        TimePoint deprioritizedUntil {};
    };
    double score(const ReadCandidate&, double defaultLatencyUs, TimePoint now) const;

    std::map<BackendServerId, ServerStatistics> statistics;
};

}
