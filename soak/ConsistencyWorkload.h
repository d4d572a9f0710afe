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

// The request id of the reads that check whether a VM serves again after the faults.
constexpr const char* recoveryRequestId = "recovery";

// Runs callers that write, read back and run transactions through all VMs, and checks every reply against the consistency guarantees.
// Each item has one writer that writes increasing numbers, so a read that returns less than an acknowledged number is stale.
class ConsistencyWorkload {
public:
    ConsistencyWorkload(fleet::Fleet&, size_t callers, uint32_t seed);
    ~ConsistencyWorkload();

    // Stops the callers and waits for their threads.
    void stop();
    // Compares the statements and writes recorded by the backend servers with the replies to the callers. Call after stop().
    void checkHistory();
    // Returns the violated guarantees, one per entry.
    std::vector<std::string> violations();
    uint64_t succeededStatements() const { return this->succeededCount; }
    uint64_t failedStatements() const { return this->failedCount; }

private:
    using Clock = std::chrono::steady_clock;
    struct AcknowledgedWrite {
        Clock::time_point acknowledgedAt;
        uint64_t number = 0;
    };
    // An item and the acknowledged writes of its only writer.
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
    // Records the outcome that the reply reports for a write of the number.
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
    // The session values of each session, by the prefix of its request ids.
    std::map<std::string, std::map<std::string, std::string>> sessionValues;
    std::map<std::string, std::string> sentTexts;
    std::vector<std::thread> threads;
};

}
