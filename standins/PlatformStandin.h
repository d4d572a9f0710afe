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

// The faults of the store. They can be set through POST /standin/faults.
struct PlatformFaults {
    // Every request except those to /standin receives status 503.
    bool isUnavailable = false;
    // Every response is delayed by this time after the request has taken effect.
    std::chrono::milliseconds responseDelay { 0 };
    // This number of next accepted transactions and object writes take effect and close the connection without a response.
    uint64_t repliesToLose = 0;
    // The list of VMs is returned as it was this long ago.
    std::chrono::milliseconds vmListLag { 0 };
};

// An in-memory stand-in for the platform's table service, object store and list of VMs, over HTTP/1.1 and JSON.
class PlatformStandin {
public:
    // Listens on the port; 0 selects any free port.
    explicit PlatformStandin(uint16_t port);

    uint16_t port() const { return this->listener.port(); }
    void setFaults(const PlatformFaults&);
    // Closes all connections and stops listening.
    void stop() { this->listener.stop(); }

private:
    using Clock = std::chrono::steady_clock;
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    struct Response {
        unsigned status = 200;
        std::string body;
        // The request took effect, but the connection is closed without a response.
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
    // Declared last, so that it is destroyed first and no handler outlives the state it uses.
    TcpListener listener;
};

}
