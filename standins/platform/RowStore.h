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
    bool isUnavailable = false;
    // Calls get no answer; their connections stay open.
    bool isUnresponsive = false;
    // The share of connections, by their number, whose calls are answered with 503 while others are served.
    double rejectedConnectionShare = 0;
    // Every answer waits this long before its effect.
    std::chrono::milliseconds requestDelay { 0 };
    // The share of changes that are made without an answer, and how much later they are made.
    double lostReplyShare = 0;
    std::chrono::milliseconds lostReplyCommitDelay { 0 };
};

// An order of promotion as the platform has received it.
struct PromotionOrder {
    std::string service;
    std::string server;
    std::string holder;
    uint64_t fencingToken = 0;
    std::chrono::steady_clock::time_point receivedAt;
};

// A small in-memory stand-in for the platform's store of rows and its call of promotion, over HTTP/1.1 and JSON.
class RowStore {
public:
    // Carries out an order: returns the HTTP status.
    using PromotionHandler = std::function<unsigned(const PromotionOrder&)>;

    explicit RowStore(PromotionHandler);
    ~RowStore();

    uint16_t port() const { return this->listener.port(); }
    void setFaults(const RowStoreFaults&);
    // Writes a row as the operator or a backend server; not subject to faults.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    // Drops the history: followers must read whole tables again.
    void compact();
    // All orders of promotion in the order of arrival.
    std::vector<PromotionOrder> promotionOrders();
    uint64_t callCount();

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    struct Response {
        unsigned status = 200;
        std::string body;
        bool isLost = false;
    };
    struct Row {
        std::string value;
        uint64_t version = 0;
        bool isDeleted = false;
    };
    void serve(boost::asio::ip::tcp::socket&);
    Response handleRequest(const Request&);
    Response listRows(const std::map<std::string, std::string>& query);
    Response readFeed(const std::map<std::string, std::string>& query);
    Response runTransaction(const std::string& body);
    Response handlePromotion(const Request&);
    json::object rowObject(const std::string& table, const std::string& key, const Row&) const;
    json::object responseObject() const;

    PromotionHandler promotionHandler;
    std::mutex mutex;
    std::condition_variable stateCondition;
    RowStoreFaults faults;
    std::mt19937 random { 1 };
    // By table and key.
    std::map<std::pair<std::string, std::string>, Row> rows;
    uint64_t version = 1;
    uint64_t historyStartVersion = 0;
    uint64_t connectionCount = 0;
    uint64_t calls = 0;
    bool isStopping = false;
    std::vector<PromotionOrder> receivedOrders;
    // The last member, so that no handler outlives the state it uses.
    TcpListener listener;
};

}
