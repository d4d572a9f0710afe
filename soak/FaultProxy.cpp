#include "soak/FaultProxy.h"

#include <algorithm>
#include <array>
#include <poll.h>
#include <sys/socket.h>
#include <thread>

namespace foxtail::soak {

using Tcp = boost::asio::ip::tcp;

namespace {

    constexpr std::chrono::milliseconds pollTime { 10 };

}

FaultProxy::FaultProxy(uint16_t targetPort)
    : targetPort(targetPort)
    , listener(std::make_unique<standins::TcpListener>(0, [this](Tcp::socket& socket) { this->serve(socket); }))
{
}

FaultProxy::~FaultProxy()
{
    this->stopping = true;
    this->listener->stop();
}

void FaultProxy::setCut(bool toTarget, bool fromTarget)
{
    this->cutToTarget = toTarget;
    this->cutFromTarget = fromTarget;
}

void FaultProxy::silenceOpen()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& connection : this->connections)
        connection->silent = true;
}

void FaultProxy::resetOpen()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& connection : this->connections)
        connection->ended = true;
}

void FaultProxy::serve(Tcp::socket& socket)
{
    boost::asio::io_context context;
    Tcp::socket target(context);
    boost::system::error_code code;
    target.connect(Tcp::endpoint(boost::asio::ip::address_v4::loopback(), this->targetPort), code);
    if (code) {
        // The caller sees a reset, as from a port without a listener.
        socket.set_option(boost::asio::socket_base::linger(true, 0), code);
        return;
    }
    const auto connection = std::make_shared<Connection>();
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::erase_if(this->connections, [](const auto& each) { return each->ended.load(); });
        this->connections.push_back(connection);
    }
    std::thread back([&] { this->copy(target.native_handle(), socket.native_handle(), *connection, this->cutFromTarget); });
    this->copy(socket.native_handle(), target.native_handle(), *connection, this->cutToTarget);
    back.join();
    socket.set_option(boost::asio::socket_base::linger(true, 0), code);
}

void FaultProxy::copy(int from, int to, Connection& connection, const std::atomic<bool>& cut)
{
    std::array<char, 16384> buffer {};
    while (!this->stopping && !connection.ended) {
        pollfd readable { from, POLLIN, 0 };
        if (poll(&readable, 1, static_cast<int>(pollTime.count())) != 1)
            continue;
        const ssize_t count = recv(from, buffer.data(), buffer.size(), 0);
        if (count <= 0)
            break;
        if (const int64_t delay = this->delayMs; delay > 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(delay));
        while ((cut || connection.silent) && !this->stopping && !connection.ended)
            std::this_thread::sleep_for(pollTime);
        if (connection.ended || send(to, buffer.data(), static_cast<size_t>(count), MSG_NOSIGNAL) != count)
            break;
    }
    connection.ended = true;
}

}
