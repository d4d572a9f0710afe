#pragma once

#include "standins/TcpListener.h"

#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace foxtail::review {

using Clock = std::chrono::steady_clock;

// An order of a promotion that has reached the platform.
struct Order {
    std::string service;
    std::string server;
    std::string holder;
    uint64_t fence = 0;
    Clock::time_point receivedAt;
};

// The platform's store of rows, as the users' PROTOCOL.md describes it: transactions, reads and the feed of one table. It loses nothing,
// is linearizable and needs 4 ms for an answer.
class Store {
public:
    // Called for each transaction of a VM that was applied, with the table, key and value of a row.
    using WriteListener = std::function<void(const std::string& table, const std::string& key, const std::string& value)>;
    // Returns a row as one VM reads it, so that a test can put paths of its own between this VM and the servers.
    using View = std::function<std::string(size_t vm, const std::string& table, const std::string& value)>;

    // Each VM has a port of its own.
    Store(size_t vmCount, WriteListener, View);
    ~Store();

    uint16_t port(size_t vm) const { return this->listeners[vm]->port(); }
    // Writes a row for the operator or a backend server. The return is the ack.
    void put(const std::string& table, const std::string& key, const std::string& value);
    std::optional<std::string> value(const std::string& table, const std::string& key);

private:
    struct Row {
        std::string value;
        uint64_t version = 0;
    };
    struct Answer {
        unsigned status = 200;
        std::string body;
    };
    void serve(size_t vm, boost::asio::ip::tcp::socket&);
    Answer answer(size_t vm, const std::string& target, const std::string& body);
    Answer list(size_t vm, const std::map<std::string, std::string>& query);
    Answer feed(size_t vm, const std::map<std::string, std::string>& query);
    Answer transact(const std::string& body);
    boost::json::object newest() const;
    boost::json::object rowObject(size_t vm, const std::pair<std::string, std::string>& name, const Row&) const;

    WriteListener onWrite;
    View view;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::pair<std::string, std::string>, Row> rows;
    uint64_t version = 1;
    bool isStopping = false;
    std::vector<std::unique_ptr<standins::TcpListener>> listeners;
};

// The network path from one VM to one backend server. A cut path refuses connections and resets those that are open; the server and all
// other paths go on.
class Path {
public:
    explicit Path(uint16_t serverPort);
    ~Path();

    uint16_t port() const { return this->ownPort; }
    void cut();
    void heal();

private:
    void serve(boost::asio::ip::tcp::socket&);

    uint16_t serverPort;
    uint16_t ownPort = 0;
    std::unique_ptr<standins::TcpListener> listener;
};

// The platform's call of promotion. It does not check fence numbers. While it is closed, its queue of new connections is full, so that
// opening packets are dropped and sent again by the kernel of the caller.
class PromotionCall {
public:
    using Handler = std::function<unsigned(const Order&)>;

    explicit PromotionCall(Handler);
    ~PromotionCall();

    uint16_t port() const { return this->listeningPort; }
    void close();
    void open();
    std::vector<Order> orders();

private:
    void acceptConnections();
    void serve(int descriptor);

    Handler handler;
    int listeningDescriptor = -1;
    uint16_t listeningPort = 0;
    std::mutex mutex;
    std::condition_variable changed;
    bool isClosed = false;
    bool isStopping = false;
    std::vector<int> fillers;
    std::vector<Order> received;
    std::vector<std::thread> threads;
    std::thread acceptThread;
};

}
