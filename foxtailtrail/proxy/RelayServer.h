#pragma once

#include "foxtailtrail/base/ErrorKind.h"
#include "foxtailtrail/net/HttpClient.h"
#include "foxtailtrail/proxy/LinkPool.h"
#include "foxtailtrail/proxy/LoadExchange.h"
#include "foxtailtrail/proxy/RelayFrame.h"
#include "foxtailtrail/proxy/TcpStream.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace foxtail {

// Lets other VMs use this VM's connections to backend servers, so that the whole fleet shares a server's connections.
class RelayServer {
public:
    // Returns this VM's own pool of a server, or null when the server is not known.
    using FindPool = std::function<std::shared_ptr<LinkPool>(const BackendServerId&)>;

    // Returns true while nothing but questions for its status may be sent to a server.
    using EvacuationCheck = std::function<bool(const BackendServerId&)>;

    RelayServer(boost::asio::io_context&, const BackendCodec&, FindPool, EvacuationCheck);
    // Lets answers carry the load of their server and what this VM knows of the others in its group.
    void setLoadExchange(LoadExchange& exchange) { this->loadExchange = &exchange; }
    ~RelayServer();

    // Starts to accept connections from other VMs. Fails with Internal when the address cannot be bound.
    Result<void> listen(const Endpoint&);
    // Returns the port on which connections are accepted, or 0 before listen().
    uint16_t localPort() const;
    // Notifies the other VMs that they must not open new channels.
    void announceStop();
    // Returns the number of open channels.
    size_t channelCount() const;

private:
    class Connection;
    void acceptNext();

    boost::asio::io_context& context;
    const BackendCodec& codec;
    FindPool findPool;
    EvacuationCheck isEvacuated;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer retryTimer;
    std::set<std::shared_ptr<Connection>> connections;
    bool isStopping = false;
    LoadExchange* loadExchange = nullptr;
};

}
