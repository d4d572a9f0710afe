#include "foxtailtrail/proxy/BackendLink.h"

#include "foxtailtrail/proxy/BootClock.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace foxtail {

using Tcp = boost::asio::ip::tcp;

std::shared_ptr<BackendLink> BackendLink::open(boost::asio::io_context& context, const BackendCodec& codec, const ServerEntry& entry,
    const std::string& organisation, OpenCallback callback)
{
    std::shared_ptr<BackendLink> link(new BackendLink(context, codec, entry, organisation, std::move(callback)));
    link->connect();
    return link;
}

BackendLink::BackendLink(
    boost::asio::io_context& context, const BackendCodec& codec, ServerEntry entry, std::string organisation, OpenCallback callback)
    : Stream(context)
    , codec(codec)
    , entry(std::move(entry))
    , organisationName(std::move(organisation))
    , openCallback(std::move(callback))
{
}

void BackendLink::connect()
{
    boost::system::error_code code;
    const auto address = boost::asio::ip::make_address(this->entry.address, code);
    auto self = std::static_pointer_cast<BackendLink>(this->shared_from_this());
    if (code) {
        boost::asio::post(this->socket.get_executor(), [self] { self->finishOpening(LinkOpening::Unreachable); });
        return;
    }
    this->socket.async_connect(Tcp::endpoint(address, this->entry.port), [self](const boost::system::error_code& failure) {
        if (!self->openCallback)
            return;
        if (failure) {
            const bool refused = failure == boost::asio::error::connection_refused;
            self->finishOpening(refused ? LinkOpening::Refused : LinkOpening::Unreachable);
            return;
        }
        self->startReading();
        std::string start;
        self->codec.writeStart(start, self->entry.service, self->organisationName, self->entry.id);
        self->sendStatements(start, 1);
    });
}

void BackendLink::finishOpening(LinkOpening opening)
{
    if (!this->openCallback)
        return;
    auto self = std::static_pointer_cast<BackendLink>(this->shared_from_this());
    const OpenCallback callback = std::exchange(this->openCallback, nullptr);
    if (opening != LinkOpening::Opened)
        this->close();
    callback(opening, self);
}

void BackendLink::abandonOpening() { this->finishOpening(LinkOpening::Unreachable); }

void BackendLink::sendStatements(std::string_view bytes, size_t count)
{
    const TimePoint now = bootNow();
    for (size_t index = 0; index < count; ++index)
        this->sentTimes.push_back(now);
    this->send(bytes);
}

size_t BackendLink::received(std::string_view bytes)
{
    std::string_view rest = bytes;
    while (this->isOpen()) {
        const std::optional<BackendMessage> message = this->codec.take(rest);
        if (!message)
            break;
        if (!this->handle(*message)) {
            this->close();
            this->disconnected();
            break;
        }
    }
    return bytes.size() - rest.size();
}

bool BackendLink::handle(const BackendMessage& message)
{
    // Bytes that nothing was asked for would be taken for the answer to the next statement.
    if (this->sentTimes.empty() || message.kind == BackendMessageKind::Malformed)
        return false;
    switch (message.kind) {
    case BackendMessageKind::Row:
        this->reply.rows.emplace_back(message.text);
        return true;
    case BackendMessageKind::Done:
        this->reply.digest = message.text;
        return true;
    case BackendMessageKind::Refused:
        this->reply.refusal = message.refusal;
        this->reply.text = message.text;
        // A refused opening is followed by a close, not by Ready.
        if (this->openCallback) {
            const bool full = message.refusal == BackendRefusal::TooMany || message.refusal == BackendRefusal::Busy;
            const bool misrouted = message.refusal == BackendRefusal::Misrouted;
            this->finishOpening(full ? LinkOpening::TooMany : misrouted ? LinkOpening::Misrouted : LinkOpening::Unreachable);
        }
        return true;
    default:
        break;
    }
    LinkReply finished = std::exchange(this->reply, LinkReply {});
    finished.state = message.state;
    finished.position = message.position;
    finished.sentAt = this->sentTimes.front();
    this->sentTimes.pop_front();
    this->lastState = message.state;
    if (this->openCallback) {
        this->finishOpening(LinkOpening::Opened);
        return true;
    }
    if (this->user)
        this->user->linkReplied(std::move(finished));
    return true;
}

void BackendLink::disconnected()
{
    // A server at its maximum resets connections that it has accepted.
    this->finishOpening(LinkOpening::TooMany);
    if (this->user)
        std::exchange(this->user, nullptr)->linkLost();
}

}
