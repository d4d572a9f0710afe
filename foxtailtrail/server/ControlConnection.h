#pragma once

#include "foxtailtrail/backend/BackendConnection.h"
#include "foxtailtrail/failover/Promotion.h"
#include "foxtailtrail/net/HttpClient.h"

#include <boost/fiber/mutex.hpp>
#include <memory>
#include <optional>
#include <string>

namespace foxtail {

// Result row of platform_status() and of the commands that change a server's state.
struct StatusReport {
    ServerStatus status;
    // The holder of the server's home, as passed to platform_claim, and its epoch. Empty and 0 if the home is not held.
    std::string homeHolder;
    uint64_t homeEpoch = 0;
};

// Outcome of a command to a backend server.
struct ControlReply {
    CommandOutcome outcome = CommandOutcome::NoReply;
    std::optional<StatusReport> report;
};

// A control connection to a backend server. It runs platform functions, never callers' statements, and does not depend on a home claim. It
// is opened on demand and closed after a call without a complete reply. Concurrent calls run one after another.
class ControlConnection {
public:
    ControlConnection(Endpoint, std::string applicationName);

    ControlReply status(TimePoint deadline);
    ControlReply fence(Term, const std::string& promoter, TimePoint deadline);
    ControlReply promote(Term, const std::string& promoter, TimePoint deadline);
    ControlReply follow(Term, const Endpoint& primary, TimePoint deadline);
    ControlReply claim(const std::string& holder, uint64_t epoch, TimePoint deadline);

    // Closes the connection; the next call opens a new one.
    void close();

private:
    ControlReply run(const std::string& sql, const std::vector<SqlValue>& params, TimePoint deadline);

    Endpoint endpoint;
    std::string applicationName;
    boost::fibers::mutex mutex;
    std::unique_ptr<BackendConnection> connection;
};

}
