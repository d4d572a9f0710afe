#pragma once

#include "foxtailtrail/base/Json.h"
#include "standins/TcpListener.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail::standins {

// What goes wrong in the store. All of it can be set through POST /standin/faults.
struct PlatformFaults {
    // Every request but those to /standin is answered with 503.
    bool isUnavailable = false;
    // Every answer waits this long; the effect happens before the wait.
    std::chrono::milliseconds responseDelay { 0 };
    // The next so many accepted transactions and object writes take effect and close the connection without an answer.
    uint64_t repliesToLose = 0;
    // The list of VMs is shown as it was this long ago.
    std::chrono::milliseconds vmListLag { 0 };
};

// A small in-memory stand-in for the platform's table service, object store and list of VMs, over HTTP/1.1 and JSON.
class PlatformStandin {
public:
    // Listens on the port, 0 for any free one.
    explicit PlatformStandin(uint16_t port);

    uint16_t port() const { return this->listener.port(); }
    void setFaults(const PlatformFaults&);
    // Ends all connections. Nothing is answered afterwards.
    void stop() { this->listener.stop(); }

private:
    using Clock = std::chrono::steady_clock;
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    struct Response {
        unsigned status = 200;
        std::string body;
        // Set when the effect has happened and the caller must not learn of it.
        bool isLost = false;
    };

    struct Row {
        uint64_t version = 0;
        json::value value;
    };

    struct VmChange {
        Clock::time_point changedAt;
        std::string id;
        // Null when the VM was removed.
        json::value entry;
    };

    using RouteHandler = Response (PlatformStandin::*)(std::string_view name, const std::string& body);
    struct Route {
        boost::beast::http::verb verb;
        std::string_view prefix;
        RouteHandler handler;
    };
    static const std::vector<Route>& routes();

    void serve(boost::asio::ip::tcp::socket&);
    Response handleRequest(const Request&);
    Response readRow(std::string_view name, const std::string& body);
    Response runTransaction(std::string_view name, const std::string& body);
    Response readObject(std::string_view name, const std::string& body);
    Response writeObject(std::string_view name, const std::string& body);
    Response listVms(std::string_view name, const std::string& body);
    Response putVm(std::string_view name, const std::string& body);
    Response removeVm(std::string_view name, const std::string& body);
    Response changeFaults(std::string_view name, const std::string& body);
    bool shouldLoseReply();

    std::mutex mutex;
    PlatformFaults faults;
    std::map<std::string, Row, std::less<>> rows;
    std::map<std::string, std::string, std::less<>> objects;
    std::vector<VmChange> vmChanges;
    // The last member, so that no handler outlives the state it uses.
    TcpListener listener;
};

}
