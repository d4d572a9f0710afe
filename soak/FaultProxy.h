#pragma once

#include "standins/TcpListener.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

namespace foxtail::soak {

// A TCP proxy on loopback that delays, blocks, stalls and resets connections to one port.
class FaultProxy {
public:
    explicit FaultProxy(uint16_t targetPort);
    ~FaultProxy();

    uint16_t port() const { return this->listener->port(); }
    // Delays every block of data by the given time.
    void setDelay(std::chrono::milliseconds delay) { this->delayMs = delay.count(); }
    // Data in a blocked direction waits until the direction is unblocked.
    void setBlocked(bool toTarget, bool fromTarget);
    // Stops all data on the connections that are open now. New connections are not affected.
    void stallOpenConnections();
    // Resets the connections that are open now.
    void resetOpenConnections();

private:
    struct Connection {
        std::atomic<bool> isStalled = false;
        std::atomic<bool> hasEnded = false;
    };
    void serve(boost::asio::ip::tcp::socket&);
    void copy(int from, int to, Connection&, const std::atomic<bool>& isBlocked);

    uint16_t targetPort;
    std::atomic<int64_t> delayMs = 0;
    std::atomic<bool> isBlockedToTarget = false;
    std::atomic<bool> isBlockedFromTarget = false;
    std::atomic<bool> isStopping = false;
    std::mutex mutex;
    std::vector<std::shared_ptr<Connection>> connections;
    std::unique_ptr<standins::TcpListener> listener;
};

}
