#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace foxtail::standins {

// Accepts TCP connections on the loopback interface and runs a handler for each on its own thread.
class TcpListener {
public:
    using Handler = std::function<void(boost::asio::ip::tcp::socket&)>;

    // Listens on the port; 0 selects any free port. Throws boost::system::system_error when the port cannot be bound.
    TcpListener(uint16_t port, Handler);
    ~TcpListener();
    TcpListener(const TcpListener&) = delete;
    TcpListener& operator=(const TcpListener&) = delete;

    uint16_t port() const { return this->listeningPort; }

    // Stops listening, shuts down all connections and waits until every handler has returned.
    void stop();

private:
    void acceptConnections();
    void serveConnection(boost::asio::ip::tcp::socket);

    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    uint16_t listeningPort = 0;
    Handler handler;
    std::mutex mutex;
    std::condition_variable handlerEndedCondition;
    std::set<int> openDescriptors;
    size_t handlerCount = 0;
    bool isStopping = false;
    std::thread acceptThread;
};

}
