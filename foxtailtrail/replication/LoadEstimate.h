#pragma once

#include "foxtailtrail/replication/ReadServerSelector.h"

#include <vector>

namespace foxtail {

// What this VM expects of a read at one candidate now.
struct ReadEstimate {
    const ReadCandidate* candidate = nullptr;
    // Statements per microsecond that the server can run.
    double capacity = 0;
    double waitUs = 0;
    double serviceUs = 0;
    // Cost of distance and of opening a connection, wait and service together.
    double totalUs = 0;
    // The fraction of this VM's reads that goes to the candidate at present.
    double share = 0;
    bool isTrial = false;
};

// Estimates the time to an answer at each candidate from reports of load, and divides the reads between the candidates. Answers many VMs
// that choose at the same moment by the same old reports: if each took the server that looks best, they would overrun the servers in
// turns. Each VM therefore assumes that the fleet has sent as much work since a report as the servers run in that time, and divides its
// own reads so that this work would even out the expected times. A fresh report sends a read to the best server; the older the reports
// and the higher the load, the closer the division comes to the capacities of the servers.
class LoadEstimate {
public:
    // Requires at least one candidate with a report.
    static LoadEstimate create(const std::vector<const ReadCandidate*>&, TimePoint now);

    const std::vector<ReadEstimate>& estimates() const { return this->candidateEstimates; }
    // Returns the estimate of the candidate with the shortest expected time.
    const ReadEstimate& shortest() const;
    // Returns the estimate that a uniform draw from 0 to 1 selects.
    const ReadEstimate& select(double draw) const;

private:
    void estimateTimes(const std::vector<const ReadCandidate*>&, TimePoint now);
    void divideReads(TimePoint now);
    // Gives a small share to the servers that get no reads because they were slow or failed.
    void addTrials();

    std::vector<ReadEstimate> candidateEstimates;
    double groupServiceUs = 0;
};

}
