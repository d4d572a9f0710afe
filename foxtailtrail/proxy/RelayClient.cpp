#include "foxtailtrail/proxy/RelayClient.h"

#include "foxtailtrail/proxy/BootClock.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <utility>
#include <vector>

namespace foxtail {

using Tcp = boost::asio::ip::tcp;

namespace {

    // A connection across regions takes about 20 ms.
    constexpr Duration connectTimeout = std::chrono::milliseconds(400);
    // With answers outstanding, a VM that sends nothing for this long is asked for a sign of life.
    constexpr Duration silenceBeforePing = std::chrono::milliseconds(200);
    // A VM that has used up its processor quota stands still for up to 100 ms at a time.
    constexpr Duration pingTimeout = std::chrono::milliseconds(500);

}

std::shared_ptr<RelayStream> RelayStream::open(boost::asio::io_context& context, const Endpoint& endpoint)
{
    std::shared_ptr<RelayStream> stream(new RelayStream(context));
    stream->connect(endpoint);
    return stream;
}

RelayStream::RelayStream(boost::asio::io_context& context)
    : Stream(context)
    , connectBy(bootNow() + connectTimeout)
    , heardAt(bootNow())
{
}

void RelayStream::connect(const Endpoint& endpoint)
{
    boost::system::error_code code;
    const auto address = boost::asio::ip::make_address(endpoint.address, code);
    if (code) {
        this->failed = true;
        return;
    }
    auto self = std::static_pointer_cast<RelayStream>(this->shared_from_this());
    this->socket.async_connect(Tcp::endpoint(address, endpoint.port), [self](const boost::system::error_code& failure) {
        if (self->failed)
            return;
        if (failure) {
            self->abandon();
            return;
        }
        self->connected = true;
        self->heardAt = bootNow();
        self->startReading();
        self->send(std::exchange(self->unsent, {}));
    });
}

uint32_t RelayStream::add(const std::shared_ptr<RelayedLink>& link)
{
    const uint32_t channel = this->nextChannel++;
    this->channels.emplace(channel, link);
    return channel;
}

void RelayStream::sendFrame(std::string_view frame)
{
    if (this->failed)
        return;
    // The time in which nothing was asked does not count as silence.
    if (!this->isAnswerDue())
        this->heardAt = bootNow();
    if (this->connected)
        this->send(frame);
    else
        this->unsent += frame;
}

bool RelayStream::isAnswerDue() const
{
    return std::any_of(this->channels.begin(), this->channels.end(), [](const auto& entry) {
        const auto link = entry.second.lock();
        return link && link->outstanding() > 0;
    });
}

void RelayStream::sweep(TimePoint now)
{
    if (this->failed)
        return;
    if (!this->connected) {
        if (this->connectBy <= now)
            this->abandon();
        return;
    }
    if (this->signDueBy != TimePoint {}) {
        if (this->signDueBy <= now)
            this->abandon();
        return;
    }
    if (now < this->heardAt + silenceBeforePing || !this->isAnswerDue())
        return;
    this->signDueBy = now + pingTimeout;
    std::string ping;
    writeRelaySignal(ping, RelayFrameKind::Ping, 0);
    this->send(ping);
}

void RelayStream::abandon()
{
    if (std::exchange(this->failed, true))
        return;
    const auto self = this->shared_from_this();
    this->close();
    const bool wereSent = this->connected;
    const auto lost = std::exchange(this->channels, {});
    for (const auto& [channel, weak] : lost) {
        if (const auto link = weak.lock())
            link->takeStreamLoss(wereSent);
    }
}

size_t RelayStream::received(std::string_view bytes)
{
    this->heardAt = bootNow();
    this->signDueBy = TimePoint {};
    std::string_view rest = bytes;
    RelayFrame frame;
    while (!this->failed) {
        const RelayTake taken = takeRelayFrame(rest, frame);
        if (taken == RelayTake::Incomplete)
            break;
        if (taken == RelayTake::Malformed) {
            this->abandon();
            break;
        }
        this->handle(frame);
    }
    return bytes.size() - rest.size();
}

void RelayStream::handle(const RelayFrame& frame)
{
    if (frame.kind == RelayFrameKind::Leaving) {
        this->leaving = true;
        return;
    }
    const auto found = this->channels.find(frame.channel);
    const std::shared_ptr<RelayedLink> link = found == this->channels.end() ? nullptr : found->second.lock();
    if (!link)
        return;
    if (frame.kind == RelayFrameKind::Answer)
        link->takeAnswer(frame.bytes);
    else if (frame.kind == RelayFrameKind::Denied)
        link->takeDenial(frame.denial);
    else if (frame.kind == RelayFrameKind::Lost)
        link->takeLoss();
}

void RelayStream::disconnected() { this->abandon(); }

std::shared_ptr<RelayedLink> RelayedLink::create(const BackendCodec& codec, const ServerEntry& entry, const std::string& organisation,
    uint32_t priority, TimePoint giveUpAt, std::shared_ptr<RelayStream> stream)
{
    std::shared_ptr<RelayedLink> link(new RelayedLink(codec, entry, organisation, priority, giveUpAt, std::move(stream)));
    link->channel = link->stream->add(link);
    return link;
}

RelayedLink::RelayedLink(const BackendCodec& codec, const ServerEntry& entry, const std::string& organisation, uint32_t priority,
    TimePoint giveUpAt, std::shared_ptr<RelayStream> stream)
    : BackendLink(codec, entry, organisation)
    , stream(std::move(stream))
    , priority(priority)
    , giveUpAt(giveUpAt)
{
}

void RelayedLink::write(std::string_view bytes, size_t statements)
{
    std::string frame;
    if (std::exchange(this->opened, true)) {
        writeRelayStatements(frame, this->channel, static_cast<uint8_t>(statements), bytes);
    } else {
        const RelayRequest request { this->entry.id, this->organisation(), this->priority, toMilliseconds(this->giveUpAt - bootNow()) };
        writeRelayOpen(frame, this->channel, request, static_cast<uint8_t>(statements), bytes);
    }
    this->stream->sendFrame(frame);
}

void RelayedLink::end()
{
    this->ended = true;
    this->stream->remove(this->channel);
}

void RelayedLink::giveBack()
{
    if (!this->isClean()) {
        this->shut();
        return;
    }
    if (this->opened) {
        std::string frame;
        writeRelayRelease(frame, this->channel, !this->state().isPristine());
        this->stream->sendFrame(frame);
    }
    this->end();
}

void RelayedLink::shut()
{
    if (this->ended)
        return;
    if (this->opened) {
        std::string frame;
        writeRelaySignal(frame, RelayFrameKind::Drop, this->channel);
        this->stream->sendFrame(frame);
    }
    this->end();
}

void RelayedLink::takeAnswer(std::string_view bytes)
{
    const auto self = this->shared_from_this();
    this->answered = true;
    if (this->takeMessages(bytes))
        return;
    this->shut();
    this->tellLost();
}

void RelayedLink::takeDenial(Acquisition denial)
{
    const auto self = this->shared_from_this();
    this->end();
    this->unreachable = denial == Acquisition::Unreachable;
    this->serverLost = this->unreachable || denial == Acquisition::Refused;
    if (this->linkUser())
        this->linkUser()->linkDenied(denial);
}

void RelayedLink::takeLoss()
{
    const auto self = this->shared_from_this();
    this->end();
    this->serverLost = true;
    this->tellLost();
}

void RelayedLink::takeStreamLoss(bool wereSent)
{
    const auto self = this->shared_from_this();
    this->ended = true;
    if (wereSent || !this->opened)
        this->tellLost();
    else if (this->linkUser())
        this->linkUser()->linkDenied(Acquisition::Unreachable);
}

}
