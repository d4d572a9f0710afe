#include "foxtailtrail/net/Listen.h"

#include <boost/asio/ip/address.hpp>
#include <string>

namespace foxtail {

using Tcp = boost::asio::ip::tcp;

Result<void> listenOn(Tcp::acceptor& acceptor, const Endpoint& endpoint, std::string_view purpose)
{
    boost::system::error_code code;
    const Tcp::endpoint local(boost::asio::ip::make_address(endpoint.address, code), endpoint.port);
    if (!code)
        acceptor.open(local.protocol(), code);
    if (!code)
        acceptor.set_option(Tcp::acceptor::reuse_address(true), code);
    if (!code)
        acceptor.bind(local, code);
    if (!code)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, code);
    if (code)
        return fail(ErrorKind::Internal, "cannot listen for " + std::string(purpose) + ": " + code.message());
    return succeed();
}

}
