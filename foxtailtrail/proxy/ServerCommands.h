#pragma once

#include "foxtailtrail/failover/FailoverPlan.h"
#include "foxtailtrail/failover/ReplacementStep.h"
#include "foxtailtrail/proxy/DirectLink.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace foxtail {

// A command to a backend server.
struct ServerCommand {
    ServerEntry server;
    ReplicationCommand command = ReplicationCommand::Status;
};

// Sends commands to the backend servers of one group over its own connections, which it keeps open until it is destroyed. Used from a
// fiber.
class ServerCommands {
public:
    ServerCommands(boost::asio::io_context&, const BackendCodec&);
    ~ServerCommands();

    ServerCommands(const ServerCommands&) = delete;
    ServerCommands& operator=(const ServerCommands&) = delete;

    // Returns whether a command may be sent at this moment.
    using SendCheck = std::function<bool(ReplicationCommand)>;

    // Sends a command to each server at once and waits until each has replied or the timeout has passed. Returns the statuses in the order
    // of the commands. A command that may not be sent any more once its connection is open is not sent, and its server counts as silent.
    std::vector<ProbedStatus> sendToAll(const std::vector<ServerCommand>&, Term, Duration timeout, const SendCheck& maySend = nullptr);

private:
    class Exchange;
    boost::asio::io_context& context;
    const BackendCodec& codec;
    std::map<BackendServerId, std::shared_ptr<DirectLink>> links;
};

}
