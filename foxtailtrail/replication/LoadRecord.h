#pragma once

#include "foxtailtrail/replication/ServerLoad.h"

#include <deque>
#include <optional>

namespace foxtail {

// The last report of one server's load that has reached this VM, and the statements that it has sent to the server since.
class LoadRecord {
public:
    // Records a report that came with an answer, and when the request was sent. The report was taken after the request was sent and before
    // the answer arrived; of a long request, only the way back counts.
    void recordReport(ServerLoad, TimePoint requestedAt, TimePoint now);
    // Records a report that another VM has passed on, unless a newer one is known. Its age is the one at which it was sent.
    void recordPassedReport(ServerLoad, Duration age, TimePoint now);
    void recordSent(TimePoint now);
    // Returns the report, or std::nullopt when there is none or the last one is too old to say anything.
    std::optional<ServerLoad> find(TimePoint now) const;
    // Returns when the last report came with an answer of the server.
    TimePoint lastAnswerAt() const { return this->answeredAt; }
    // Returns the number of statements that this VM has sent since the report was taken.
    uint32_t sentSince() const { return static_cast<uint32_t>(this->sentAt.size()); }

private:
    void setReport(const ServerLoad&);

    std::optional<ServerLoad> report;
    TimePoint answeredAt {};
    std::deque<TimePoint> sentAt;
};

}
