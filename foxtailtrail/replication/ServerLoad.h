#pragma once

#include "foxtailtrail/base/Time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace foxtail {

// The load of one backend server, as seen by the VM that holds the connections to it.
struct ServerLoad {
    // Statements that occupy a slot or wait in the server's own queue.
    uint32_t running = 0;
    // Requests that wait for a connection.
    uint32_t waiting = 0;
    uint32_t slots = 1;
    // Mean time that a statement occupies a slot, without the time that it waits for one. 0 when no statement has ended yet.
    Duration meanServiceTime { 0 };
    // The report describes this time or a later one.
    TimePoint takenAt {};
    bool operator==(const ServerLoad&) const = default;
};

// The moving average of the time that statements occupy a slot of one server. Answers the load of a server that fails at once: its short
// failures would otherwise show as speed and attract more statements. The fewer statements end, the more each of them counts, so that a few
// trials show that a server has recovered.
class ServiceTimeAverage {
public:
    // Records a statement that has ended. The count of running statements includes it.
    void recordEnd(Duration elapsed, size_t running, size_t slots, bool hasFailed, TimePoint now)
    {
        // Of more statements than slots, each spends only its share of the time in a slot.
        const double slotShare
            = std::min(1.0, static_cast<double>(std::max<size_t>(1, slots)) / static_cast<double>(std::max<size_t>(1, running)));
        double sampleUs = static_cast<double>(elapsed.count()) * slotShare;
        if (hasFailed)
            sampleUs = std::max(sampleUs, static_cast<double>(failureServiceTime.count()));
        const double sinceLast = static_cast<double>((now - this->lastEndAt).count()) / static_cast<double>(averagingTime.count());
        const double weight = this->hasSample ? std::clamp(sinceLast, minSampleWeight, maxSampleWeight) : 1;
        this->meanUs += weight * (sampleUs - this->meanUs);
        this->hasSample = true;
        this->lastEndAt = now;
    }

    Duration mean() const { return Duration(static_cast<Duration::rep>(this->meanUs)); }

private:
    static constexpr Duration averagingTime = std::chrono::seconds(1);
    static constexpr double minSampleWeight = 0.05;
    static constexpr double maxSampleWeight = 0.5;
    static constexpr Duration failureServiceTime = std::chrono::milliseconds(500);

    double meanUs = 0;
    bool hasSample = false;
    TimePoint lastEndAt {};
};

}
