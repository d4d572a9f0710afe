#pragma once

#include "foxtailtrail/base/Time.h"

#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

namespace foxtail {

// The virtual time, event queue and random numbers of one run. Events run in the order of their time, then of their insertion,
// so the figures depend only on the seed.
class Simulation {
public:
    explicit Simulation(uint64_t seed)
        : generator(seed)
    {
    }

    TimePoint now() const { return this->currentTime; }

    void scheduleAt(TimePoint when, std::function<void()> action)
    {
        this->events.push({ std::max(when, this->currentTime), ++this->lastSequence, std::move(action) });
    }

    void scheduleAfter(Duration delay, std::function<void()> action) { this->scheduleAt(this->currentTime + delay, std::move(action)); }

    // Runs the action immediately and then once per period until the end of the run.
    void scheduleEvery(Duration period, const std::function<void()>& action)
    {
        action();
        this->scheduleAfter(period, [this, period, action] { this->scheduleEvery(period, action); });
    }

    void runUntil(TimePoint end)
    {
        while (!this->events.empty() && this->events.top().dueAt <= end) {
            const Event event = this->events.top();
            this->events.pop();
            this->currentTime = event.dueAt;
            event.action();
        }
        this->currentTime = end;
    }

    // Returns a random number below the bound.
    uint64_t randomBelow(uint64_t bound) { return this->generator() % bound; }

    // Returns a random number from 0 to below 1.
    double uniform()
    {
        // 2^53: a double holds 53 random bits without rounding.
        constexpr double mantissaRange = 9007199254740992.0;
        return static_cast<double>(this->generator() >> 11) / mantissaRange;
    }

    // Returns an exponentially distributed duration with the given mean.
    Duration exponential(Duration mean)
    {
        return Duration(static_cast<int64_t>(-std::log(1 - this->uniform()) * static_cast<double>(mean.count())));
    }

    // Returns the mean with a symmetric jitter of one fifth.
    Duration jittered(Duration mean)
    {
        return mean * 4 / 5 + Duration(static_cast<int64_t>(this->uniform() * 0.4 * static_cast<double>(mean.count())));
    }

    // Returns a random index whose probability is proportional to its weight.
    size_t weightedIndex(const std::vector<double>& weights)
    {
        double total = 0;
        for (const double weight : weights)
            total += weight;
        double remainingWeight = this->uniform() * total;
        size_t index = 0;
        while (index + 1 < weights.size() && remainingWeight >= weights[index])
            remainingWeight -= weights[index++];
        return index;
    }

private:
    struct Event {
        TimePoint dueAt;
        uint64_t sequence = 0;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::pair(other.dueAt, other.sequence) < std::pair(this->dueAt, this->sequence); }
    };

    std::mt19937_64 generator;
    TimePoint currentTime;
    uint64_t lastSequence = 0;
    std::priority_queue<Event> events;
};

// Returns the mean interval of a rate per second.
inline Duration intervalOf(double rate) { return Duration(static_cast<int64_t>(1e6 / rate)); }

inline double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

inline double toFractionalMilliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

}
