#include "foxtailtrail/proxy/DirectLink.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace foxtail {

using Tcp = boost::asio::ip::tcp;

std::shared_ptr<DirectLink> DirectLink::open(boost::asio::io_context& context, const BackendCodec& codec, const ServerEntry& entry,
    const std::string& organisation, OpenCallback callback)
{
    std::shared_ptr<DirectLink> link(new DirectLink(context, codec, entry, organisation, std::move(callback)));
    link->connect();
    return link;
}

DirectLink::DirectLink(boost::asio::io_context& context, const BackendCodec& codec, const ServerEntry& entry,
    const std::string& organisation, OpenCallback callback)
    : TcpStream(context)
    , BackendLink(codec, entry, organisation)
    , openCallback(std::move(callback))
{
}

void DirectLink::connect()
{
    boost::system::error_code code;
    const auto address = boost::asio::ip::make_address(this->entry.address, code);
    auto self = std::static_pointer_cast<DirectLink>(this->shared_from_this());
    if (code) {
        boost::asio::post(this->socket.get_executor(), [self] { self->finishOpening(LinkOpenOutcome::Unreachable); });
        return;
    }
    this->socket.async_connect(Tcp::endpoint(address, this->entry.port), [self](const boost::system::error_code& connectError) {
        if (!self->openCallback)
            return;
        if (connectError) {
            const bool isRefused = connectError == boost::asio::error::connection_refused;
            self->finishOpening(isRefused ? LinkOpenOutcome::Refused : LinkOpenOutcome::Unreachable);
            return;
        }
        self->startReading();
        std::string start;
        self->codec.writeStart(start, self->entry.service, self->organisation(), self->entry.id);
        self->sendStatements(start, 1);
    });
}

void DirectLink::finishOpening(LinkOpenOutcome outcome)
{
    if (!this->openCallback)
        return;
    auto self = std::static_pointer_cast<DirectLink>(this->shared_from_this());
    const OpenCallback callback = std::exchange(this->openCallback, nullptr);
    if (outcome != LinkOpenOutcome::Opened)
        this->close();
    callback(outcome, self);
}

void DirectLink::cancelOpening() { this->finishOpening(LinkOpenOutcome::Unreachable); }

void DirectLink::closeGracefully()
{
    std::string terminateMessage;
    this->codec.writeTerminate(terminateMessage);
    this->setListener(nullptr);
    this->send(terminateMessage);
    this->close();
}

void DirectLink::write(std::string_view bytes, size_t) { this->send(bytes); }

void DirectLink::handleOpeningError(BackendErrorCode errorCode)
{
    // After an error during the opening, the server closes the connection and sends no Ready message.
    if (!this->openCallback)
        return;
    const bool isFull = errorCode == BackendErrorCode::TooManyConnections || errorCode == BackendErrorCode::Busy;
    const bool isMisrouted = errorCode == BackendErrorCode::Misrouted;
    this->finishOpening(isFull ? LinkOpenOutcome::TooManyConnections
            : isMisrouted      ? LinkOpenOutcome::Misrouted
                               : LinkOpenOutcome::Unreachable);
}

bool DirectLink::handleOpeningReply()
{
    if (!this->openCallback)
        return false;
    this->finishOpening(LinkOpenOutcome::Opened);
    return true;
}

size_t DirectLink::received(std::string_view bytes)
{
    const std::optional<size_t> used = this->processMessages(bytes);
    if (used)
        return *used;
    this->close();
    this->disconnected();
    return bytes.size();
}

void DirectLink::disconnected()
{
    // A server that has reached its maximum number of connections resets connections after accepting them.
    this->finishOpening(LinkOpenOutcome::TooManyConnections);
    this->notifyLost();
}

}
