#include "standins/TcpListener.h"

#include <boost/asio/ip/address_v4.hpp>
#include <exception>
#include <iostream>
#include <sys/socket.h>
#include <utility>

namespace foxtail::standins {

namespace {

    using Tcp = boost::asio::ip::tcp;

}

TcpListener::TcpListener(uint16_t port, Handler connectionHandler)
    : acceptor(this->context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), port))
    , listeningPort(this->acceptor.local_endpoint().port())
    , handler(std::move(connectionHandler))
{
    this->acceptThread = std::thread([this] { this->acceptConnections(); });
}

TcpListener::~TcpListener() { this->stop(); }

void TcpListener::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->isStopping = true;
        // shutdown() wakes a thread that is blocked in accept() or recv(). close() does not.
        ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
        for (const int descriptor : this->openDescriptors)
            ::shutdown(descriptor, SHUT_RDWR);
    }
    if (this->acceptThread.joinable())
        this->acceptThread.join();
    std::unique_lock lock(this->mutex);
    this->handlerEndedCondition.wait(lock, [this] { return !this->handlerCount; });
}

void TcpListener::acceptConnections()
{
    while (true) {
        boost::system::error_code error;
        Tcp::socket socket(this->context);
        this->acceptor.accept(socket, error);
        const std::lock_guard lock(this->mutex);
        if (this->isStopping)
            return;
        if (error)
            continue;
        this->openDescriptors.insert(socket.native_handle());
        ++this->handlerCount;
        std::thread([this, moved = std::move(socket)]() mutable { this->serveConnection(std::move(moved)); }).detach();
    }
}

void TcpListener::serveConnection(Tcp::socket socket)
{
    try {
        boost::system::error_code ignored;
        socket.set_option(Tcp::no_delay(true), ignored);
        this->handler(socket);
    } catch (const std::exception& handlerError) {
        std::cerr << "closing a connection after an error: " << handlerError.what() << std::endl;
    }
    const std::lock_guard lock(this->mutex);
    this->openDescriptors.erase(socket.native_handle());
    boost::system::error_code ignored;
    socket.close(ignored);
    --this->handlerCount;
    this->handlerEndedCondition.notify_all();
}

}
