#pragma once

#include "tests/fleet/Fleet.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace foxtail::soak {

// The id of the reads that probe whether a VM serves again.
constexpr const char* recoveryRequestId = "recovery";

// Callers that write, read back and run transactions through all VMs, and check every answer against the promises. Each item has
// one writer that counts upwards, so a read that shows less than an acknowledged number is stale.
class ConsistencyWorkload {
public:
    ConsistencyWorkload(fleet::Fleet&, size_t callers, uint32_t seed);
    ~ConsistencyWorkload();

    // Ends the callers.
    void stop();
    // Compares what the backend servers ran and hold with what the callers were told. Call after stop().
    void checkHistory();
    // The broken promises, one a line.
    std::vector<std::string> violations();
    uint64_t succeededStatements() const { return this->succeededCount; }
    uint64_t failedStatements() const { return this->failedCount; }

private:
    using Clock = std::chrono::steady_clock;
    struct AcknowledgedWrite {
        Clock::time_point acknowledgedAt;
        uint64_t number = 0;
    };
    // One item and what its writer was told.
    struct Item {
        std::string name;
        uint64_t nextNumber = 1;
        std::deque<AcknowledgedWrite> acknowledgedWrites;
    };
    struct Session;
    void runCaller(size_t index, uint32_t seed);
    void openSession(Session&);
    void runNextOperation(Session&);
    void write(Session&);
    void read(Session&);
    void runTransaction(Session&);
    // Notes what an answer to a writing statement says about the number.
    void recordWriteOutcome(Session&, const fleet::Reply&, const std::vector<std::string>& ids, uint64_t number);
    void recordViolation(const std::string&);
    std::string newRequestId(Session&);

    fleet::Fleet& fleet;
    std::atomic<bool> isStopping = false;
    std::atomic<uint64_t> succeededCount = 0;
    std::atomic<uint64_t> failedCount = 0;
    std::mutex mutex;
    std::vector<std::string> recordedViolations;
    std::set<std::string> acknowledgedIds;
    std::set<std::string> idsWithoutEffect;
    // By the first part of an id: the session values that were acknowledged.
    std::map<std::string, std::map<std::string, std::string>> sessionValues;
    std::map<std::string, std::string> sentTexts;
    std::vector<std::thread> threads;
};

}
