#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/replication/ServerLoad.h"

#include <array>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace foxtail {

// The distance of a backend server from this VM.
enum class Distance : uint8_t {
    SameDataCentre,
    SameRegion,
    OtherRegion,
};

// Returns the cost of transferring the bytes of a read over a distance, as microseconds of added latency.
double distanceCostUs(Distance);

// A server that can run a read.
struct ReadCandidate {
    BackendServerId server;
    Distance distance = Distance::SameDataCentre;
    // Whether free connections to the server exist that the caller's organisation may use at once.
    bool hasFreeConnection = false;
    // Statements of this VM that run on the server or wait for it.
    uint32_t outstanding = 0;
    uint32_t slots = 1;
    // The last report of the server's load, and the statements that this VM has sent since.
    std::optional<ServerLoad> load {};
    uint32_t sentSince = 0;
    // When this VM sent the oldest statement to which the server has not replied.
    std::optional<TimePoint> oldestUnansweredAt {};
    // Whether reads of the organisation prefer this server, so that few servers hold connections for it.
    bool isPreferredByOrganisation = true;
};

// Marks the candidate that is the first in the rendezvous order of the organisation.
void markPreferred(std::vector<ReadCandidate>&, std::string_view organisation);

// Why a read goes to a server.
enum class ReadChoiceReason : uint8_t {
    // No load of any candidate has been reported: the nearest server by its latency and the statements of this VM.
    Unreported,
    // The shortest expected time to an answer.
    Shortest,
    // Another server, because other VMs choose at the same time by the same reports.
    Spread,
    // A server without reads is tried again.
    Trial,
};
constexpr std::array<std::string_view, 4> readChoiceReasonNames { "unreported", "shortest", "spread", "trial" };

// The chosen server of a read.
struct ReadChoice {
    BackendServerId server;
    ReadChoiceReason reason = ReadChoiceReason::Unreported;
    // The age of the report of the server's load, if there is one.
    std::optional<Duration> reportAge {};
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
    // The same by the reported loads of the servers, as LoadEstimate divides the reads. The draw, from 0 to 1, must be uniformly
    // distributed. Without any report the choice is that of choose().
    std::optional<ReadChoice> chooseByLoad(
        const std::vector<ReadCandidate>&, const std::vector<BackendServerId>& excluded, TimePoint now, double draw) const;

private:
    struct ServerStatistics {
        // Moving average of the latency in microseconds.
        double averageLatencyUs = 0;
        uint32_t consecutiveFailures = 0;
        TimePoint deprioritizedUntil {};
    };
    double score(const ReadCandidate&, double defaultLatencyUs, TimePoint now) const;
    bool isDeprioritized(const BackendServerId&, TimePoint now) const;

    std::map<BackendServerId, ServerStatistics> statistics;
};

}
