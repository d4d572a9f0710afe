#pragma once

#include "foxtailtrail/base/Json.h"
#include "standins/TcpListener.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace foxtail::standins {

// What goes wrong in the store of rows.
struct RowStoreFaults {
    // Every call is answered with 503.
    bool busy = false;
    // Calls get no answer; their connections stay open.
    bool silent = false;
    // The share of connections, by their number, whose calls are answered with 503 while others are served.
    double rejectedShare = 0;
    // Every answer waits this long before its effect.
    std::chrono::milliseconds slow { 0 };
    // The share of changes that are made without an answer, and how much later they are made.
    double lostShare = 0;
    std::chrono::milliseconds lostDelay { 0 };
};

// An order of promotion as the platform has received it.
struct PromotionOrder {
    std::string service;
    std::string server;
    std::string holder;
    uint64_t fence = 0;
    std::chrono::steady_clock::time_point at;
};

// A small in-memory stand-in for the platform's store of rows and its call of promotion, over HTTP/1.1 and JSON.
class RowStore {
public:
    // Carries out an order: returns the HTTP status.
    using Promote = std::function<unsigned(const PromotionOrder&)>;

    explicit RowStore(Promote);
    ~RowStore();

    uint16_t port() const { return this->listener.port(); }
    void setFaults(const RowStoreFaults&);
    // Writes a row as the operator or a backend server; not subject to faults.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    // Drops the history: followers must read whole tables again.
    void compact();
    // All orders of promotion in the order of arrival.
    std::vector<PromotionOrder> orders();
    uint64_t callCount();

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    struct Answer {
        unsigned status = 200;
        std::string body;
        bool lost = false;
    };
    struct Row {
        std::string value;
        uint64_t version = 0;
        bool removed = false;
    };
    void serve(boost::asio::ip::tcp::socket&);
    Answer answer(const Request&);
    Answer list(const std::map<std::string, std::string>& query);
    Answer follow(const std::map<std::string, std::string>& query);
    Answer transact(const std::string& body);
    Answer promoteServer(const Request&);
    json::object rowObject(const std::string& table, const std::string& key, const Row&) const;
    json::object answerObject() const;

    Promote promote;
    std::mutex mutex;
    std::condition_variable changed;
    RowStoreFaults faults;
    std::mt19937 random { 1 };
    // By table and key.
    std::map<std::pair<std::string, std::string>, Row> rows;
    uint64_t version = 1;
    uint64_t historyFrom = 0;
    uint64_t connections = 0;
    uint64_t calls = 0;
    bool stopping = false;
    std::vector<PromotionOrder> received;
    // The last member, so that no handler outlives the state it uses.
    TcpListener listener;
};

}
