#pragma once

#include "foxtailtrail/backend/BackendConnection.h"
#include "foxtailtrail/failover/Promotion.h"
#include "foxtailtrail/net/HttpClient.h"

#include <boost/fiber/mutex.hpp>
#include <memory>
#include <optional>
#include <string>

namespace foxtail {

// What platform_status() and the commands that change a server's state report.
struct StatusReport {
    ServerStatus status;
    // Who holds the server's home, as named in platform_claim, and at which epoch. Empty and 0 when nobody does.
    std::string homeHolder;
    uint64_t homeEpoch = 0;
};

// How a command to a backend server ended.
struct ControlReply {
    CommandOutcome outcome = CommandOutcome::NoReply;
    std::optional<StatusReport> report;
};

// One control connection to a backend server: it runs platform functions, never callers' statements, and belongs to no home.
// It is opened when needed and closed after a call that got no whole answer. Calls queue for it in order.
class ControlConnection {
public:
    ControlConnection(Endpoint, std::string applicationName);

    ControlReply status(TimePoint deadline);
    ControlReply fence(Term, const std::string& promoter, TimePoint deadline);
    ControlReply promote(Term, const std::string& promoter, TimePoint deadline);
    ControlReply follow(Term, const Endpoint& primary, TimePoint deadline);
    ControlReply claim(const std::string& holder, uint64_t epoch, TimePoint deadline);

    // Closes the connection. The next call opens a new one.
    void close();

private:
    ControlReply run(const std::string& sql, const std::vector<SqlValue>& params, TimePoint deadline);

    Endpoint endpoint;
    std::string applicationName;
    boost::fibers::mutex mutex;
    std::unique_ptr<BackendConnection> connection;
};

}
