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
constexpr const char* recoveryId = "recovery";

// Callers that write, read back and run transactions through all VMs, and check every answer against the promises. Each item has
// one writer that counts upwards, so a read that shows less than an acknowledged number is stale.
class Promises {
public:
    Promises(fleet::Fleet&, size_t callers, uint32_t seed);
    ~Promises();

    // Ends the callers.
    void stop();
    // Compares what the backend servers ran and hold with what the callers were told. Call after stop().
    void checkHistory();
    // The broken promises, one a line.
    std::vector<std::string> broken();
    uint64_t served() const { return this->servedCount; }
    uint64_t refused() const { return this->refusedCount; }

private:
    using Clock = std::chrono::steady_clock;
    struct Acknowledged {
        Clock::time_point at;
        uint64_t number = 0;
    };
    // One item and what its writer was told.
    struct Item {
        std::string name;
        uint64_t next = 1;
        std::deque<Acknowledged> acknowledged;
    };
    struct Session;
    void run(size_t index, uint32_t seed);
    void openSession(Session&);
    void step(Session&);
    void write(Session&);
    void read(Session&);
    void transact(Session&);
    // Notes what an answer to a writing statement says about the number.
    void noteWrite(Session&, const fleet::Reply&, const std::vector<std::string>& ids, uint64_t number);
    void report(const std::string&);
    std::string newId(Session&);

    fleet::Fleet& fleet;
    std::atomic<bool> stopping = false;
    std::atomic<uint64_t> servedCount = 0;
    std::atomic<uint64_t> refusedCount = 0;
    std::mutex mutex;
    std::vector<std::string> brokenPromises;
    std::set<std::string> acknowledgedIds;
    std::set<std::string> refusedIds;
    // By the first part of an id: the session values that were acknowledged.
    std::map<std::string, std::map<std::string, std::string>> sessionValues;
    std::map<std::string, std::string> sentTexts;
    std::vector<std::thread> threads;
};

}
