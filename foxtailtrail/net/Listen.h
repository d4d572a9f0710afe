#pragma once

#include "foxtailtrail/base/ErrorKind.h"
#include "foxtailtrail/net/HttpClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace foxtail {

// Binds the acceptor to the endpoint and listens. Fails with Internal; the error contains the purpose, for example "other VMs".
Result<void> listenOn(boost::asio::ip::tcp::acceptor&, const Endpoint&, std::string_view purpose);

}
