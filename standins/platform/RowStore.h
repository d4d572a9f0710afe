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
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace foxtail::standins {

// The faults of the row store.
struct RowStoreFaults {
    // Every call receives status 503.
    bool isUnavailable = false;
    // Calls receive no reply, and their connections stay open.
    bool isUnresponsive = false;
    // Calls that run while this is set never receive a reply, nor do later calls on their connections, which stay open.
    bool isSilent = false;
    // The share of connections whose calls receive status 503 while others are served. The number of a connection decides.
    double rejectedConnectionShare = 0;
    // Every request is delayed by this time before it takes effect.
    std::chrono::milliseconds requestDelay { 0 };
    // The share of transactions that run but whose replies are lost, and the delay before they run.
    double lostReplyShare = 0;
    std::chrono::milliseconds lostReplyCommitDelay { 0 };
};

// A promotion order that the platform has received.
struct PromotionOrder {
    std::string service;
    std::string server;
    std::string holder;
    uint64_t fencingToken = 0;
    std::chrono::steady_clock::time_point receivedAt;
};

// An in-memory stand-in for the platform's row store and its promotion call, over HTTP/1.1 and JSON.
class RowStore {
public:
    // Executes a promotion order and returns the HTTP status.
    using PromotionHandler = std::function<unsigned(const PromotionOrder&)>;

    explicit RowStore(PromotionHandler);
    ~RowStore();

    uint16_t port() const { return this->listener.port(); }
    void setFaults(const RowStoreFaults&);
    // Writes a row on behalf of the operator or a backend server. Not subject to faults.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    // Drops the change history, so that readers of the feed must read whole tables again.
    void compact();
    // Continues from a copy of the rows of some time ago, in the next era. Rows that were written since are gone, and versions are given
    // out again; the tests write again what the operator and the backend servers wrote.
    void restore(std::chrono::milliseconds ageOfCopy);
    // Returns the value of a row, or an empty optional.
    std::optional<std::string> value(const std::string& table, const std::string& key);
    // Returns all promotion orders in the order of arrival.
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
    // A change of a row, from which older copies are made.
    struct Change {
        std::chrono::steady_clock::time_point changedAt;
        std::pair<std::string, std::string> name;
        Row row;
    };
    // Writes a row and records the change. Called with the mutex held.
    void write(const std::pair<std::string, std::string>& name, Row);
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
    std::vector<Change> changes;
    uint64_t version = 1;
    uint64_t era = 1;
    uint64_t historyStartVersion = 0;
    uint64_t connectionCount = 0;
    uint64_t calls = 0;
    // How often the store has become silent.
    uint64_t silenceCount = 0;
    bool isStopping = false;
    std::vector<PromotionOrder> receivedOrders;
    // Declared last, so that it is destroyed first and no handler outlives the state it uses.
    TcpListener listener;
};

}
