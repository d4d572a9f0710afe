#include "soak/FaultProxy.h"

#include <algorithm>
#include <array>
#include <poll.h>
#include <sys/socket.h>
#include <thread>

namespace foxtail::soak {

using Tcp = boost::asio::ip::tcp;

namespace {

    constexpr std::chrono::milliseconds pollInterval { 10 };

}

FaultProxy::FaultProxy(uint16_t targetPort)
    : targetPort(targetPort)
    , listener(std::make_unique<standins::TcpListener>(0, [this](Tcp::socket& socket) { this->serve(socket); }))
{
}

FaultProxy::~FaultProxy()
{
    this->isStopping = true;
    this->listener->stop();
}

void FaultProxy::setBlocked(bool toTarget, bool fromTarget)
{
    this->isBlockedToTarget = toTarget;
    this->isBlockedFromTarget = fromTarget;
}

void FaultProxy::stallOpenConnections()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& connection : this->connections)
        connection->isStalled = true;
}

void FaultProxy::resetOpenConnections()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& connection : this->connections)
        connection->hasEnded = true;
}

void FaultProxy::serve(Tcp::socket& socket)
{
    boost::asio::io_context context;
    Tcp::socket target(context);
    boost::system::error_code code;
    target.connect(Tcp::endpoint(boost::asio::ip::address_v4::loopback(), this->targetPort), code);
    if (code) {
        // Resets the connection, as a port without a listener would.
        socket.set_option(boost::asio::socket_base::linger(true, 0), code);
        return;
    }
    const auto connection = std::make_shared<Connection>();
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::erase_if(this->connections, [](const auto& each) { return each->hasEnded.load(); });
        this->connections.push_back(connection);
    }
    std::thread reverseCopy([&] { this->copy(target.native_handle(), socket.native_handle(), *connection, this->isBlockedFromTarget); });
    this->copy(socket.native_handle(), target.native_handle(), *connection, this->isBlockedToTarget);
    reverseCopy.join();
    socket.set_option(boost::asio::socket_base::linger(true, 0), code);
}

void FaultProxy::copy(int from, int to, Connection& connection, const std::atomic<bool>& isBlocked)
{
    std::array<char, 16384> buffer {};
    while (!this->isStopping && !connection.hasEnded) {
        pollfd readable { from, POLLIN, 0 };
        if (poll(&readable, 1, static_cast<int>(pollInterval.count())) != 1)
            continue;
        const ssize_t count = recv(from, buffer.data(), buffer.size(), 0);
        if (count <= 0)
            break;
        if (const int64_t delay = this->delayMs; delay > 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(delay));
        while ((isBlocked || connection.isStalled) && !this->isStopping && !connection.hasEnded)
            std::this_thread::sleep_for(pollInterval);
        if (connection.hasEnded || send(to, buffer.data(), static_cast<size_t>(count), MSG_NOSIGNAL) != count)
            break;
    }
    connection.hasEnded = true;
}

}
