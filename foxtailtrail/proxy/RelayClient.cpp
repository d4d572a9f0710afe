#include "foxtailtrail/proxy/RelayClient.h"

#include "foxtailtrail/proxy/BootClock.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <utility>
#include <vector>

namespace foxtail {

using Tcp = boost::asio::ip::tcp;

namespace {

    // Establishing a connection across regions takes about 20 ms.
    constexpr Duration connectTimeout = std::chrono::milliseconds(400);
    // A VM that sends nothing for this long while replies are outstanding gets a ping.
    constexpr Duration silenceBeforePing = std::chrono::milliseconds(200);
    // A VM that has used up its processor quota is throttled for up to 100 ms at a time.
    constexpr Duration pingTimeout = std::chrono::milliseconds(500);

}

std::shared_ptr<RelayStream> RelayStream::open(boost::asio::io_context& context, const Endpoint& endpoint)
{
    std::shared_ptr<RelayStream> stream(new RelayStream(context));
    stream->connect(endpoint);
    return stream;
}

std::shared_ptr<RelayStream> RelayStream::openForTrial(boost::asio::io_context& context, const Endpoint& endpoint)
{
    std::shared_ptr<RelayStream> stream(new RelayStream(context));
    stream->isTrial = true;
    stream->connect(endpoint);
    return stream;
}

RelayStream::RelayStream(boost::asio::io_context& context)
    : TcpStream(context)
    , connectBy(bootNow() + connectTimeout)
    , lastActivityAt(bootNow())
{
}

void RelayStream::connect(const Endpoint& endpoint)
{
    boost::system::error_code code;
    const auto address = boost::asio::ip::make_address(endpoint.address, code);
    if (code) {
        this->hasFailed = true;
        return;
    }
    auto self = std::static_pointer_cast<RelayStream>(this->shared_from_this());
    this->socket.async_connect(Tcp::endpoint(address, endpoint.port), [self](const boost::system::error_code& failure) {
        if (self->hasFailed)
            return;
        if (failure) {
            self->abandon();
            return;
        }
        self->hasConnected = true;
        self->lastActivityAt = bootNow();
        self->startReading();
        if (self->isTrial)
            self->sendPing(self->lastActivityAt);
        self->send(std::exchange(self->unsentFrames, {}));
    });
}

uint32_t RelayStream::addChannel(const std::shared_ptr<RelayedLink>& link)
{
    const uint32_t channel = this->nextChannel++;
    this->channels.emplace(channel, link);
    return channel;
}

void RelayStream::sendFrame(std::string_view frame)
{
    if (this->hasFailed)
        return;
    // Idle time before this frame does not count as silence of the other VM.
    if (!this->hasOutstandingStatements())
        this->lastActivityAt = bootNow();
    if (this->hasConnected)
        this->send(frame);
    else
        this->unsentFrames += frame;
}

bool RelayStream::hasOutstandingStatements() const
{
    return std::any_of(this->channels.begin(), this->channels.end(), [](const auto& entry) {
        const auto link = entry.second.lock();
        return link && link->outstandingStatements() > 0;
    });
}

void RelayStream::sweep(TimePoint now)
{
    if (this->hasFailed)
        return;
    if (!this->hasConnected) {
        if (this->connectBy <= now)
            this->abandon();
        return;
    }
    if (this->pongDueBy != TimePoint {}) {
        if (this->pongDueBy <= now)
            this->abandon();
        return;
    }
    if (now < this->lastActivityAt + silenceBeforePing || !this->hasOutstandingStatements())
        return;
    this->sendPing(now);
}

void RelayStream::sendPing(TimePoint now)
{
    this->pongDueBy = now + pingTimeout;
    std::string ping;
    writeRelaySignal(ping, RelayFrameKind::Ping, 0);
    this->send(ping);
}

void RelayStream::abandon()
{
    if (std::exchange(this->hasFailed, true))
        return;
    const auto self = this->shared_from_this();
    this->close();
    const bool wereSent = this->hasConnected;
    const auto lost = std::exchange(this->channels, {});
    for (const auto& [channel, weak] : lost) {
        if (const auto link = weak.lock())
            link->handleStreamLoss(wereSent);
    }
}

size_t RelayStream::received(std::string_view bytes)
{
    this->lastActivityAt = bootNow();
    this->hasReceived = true;
    this->pongDueBy = TimePoint {};
    std::string_view rest = bytes;
    RelayFrame frame;
    while (!this->hasFailed) {
        const RelayReadResult readResult = readRelayFrame(rest, frame);
        if (readResult == RelayReadResult::Incomplete)
            break;
        if (readResult == RelayReadResult::Malformed) {
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
        this->isPeerLeaving = true;
        return;
    }
    const auto found = this->channels.find(frame.channel);
    const std::shared_ptr<RelayedLink> link = found == this->channels.end() ? nullptr : found->second.lock();
    if (!link)
        return;
    if (frame.load)
        link->handleLoad(*frame.load);
    if (frame.kind == RelayFrameKind::Loads)
        link->handleReports(frame.reports);
    else if (frame.kind == RelayFrameKind::Answer)
        link->handleAnswer(frame.bytes);
    else if (frame.kind == RelayFrameKind::Denied)
        link->handleDenial(frame.denial);
    else if (frame.kind == RelayFrameKind::Lost)
        link->handleServerLoss();
}

void RelayStream::disconnected() { this->abandon(); }

std::shared_ptr<RelayedLink> RelayedLink::create(
    const BackendCodec& codec, const ServerEntry& entry, const LinkRequest& request, std::shared_ptr<RelayStream> stream, LinkLoad linkLoad)
{
    std::shared_ptr<RelayedLink> link(new RelayedLink(codec, entry, request, std::move(stream), std::move(linkLoad)));
    link->channel = link->stream->addChannel(link);
    return link;
}

RelayedLink::RelayedLink(const BackendCodec& codec, const ServerEntry& entry, const LinkRequest& linkRequest,
    std::shared_ptr<RelayStream> stream, LinkLoad linkLoad)
    : BackendLink(codec, entry, linkRequest.organisation)
    , stream(std::move(stream))
    , linkLoad(std::move(linkLoad))
    , request(linkRequest)
{
}

void RelayedLink::write(std::string_view bytes, size_t statements)
{
    std::string frame;
    if (std::exchange(this->isChannelOpened, true)) {
        writeRelayStatements(frame, this->channel, static_cast<uint8_t>(statements), bytes);
    } else {
        const RelayRequest relayRequest { this->entry.id, this->organisation(), this->request.priority,
            toMilliseconds(this->request.giveUpAt - bootNow()) };
        writeRelayOpen(frame, this->channel, relayRequest, static_cast<uint8_t>(statements), bytes);
        if (this->linkLoad.exchange) {
            const std::vector<LoadReport> reports = this->linkLoad.exchange->reportsBeside(this->entry);
            if (!reports.empty())
                writeRelayLoads(frame, this->channel, reports);
        }
    }
    this->lastSentAt = bootNow();
    this->linkLoad.record->recordSent(this->lastSentAt);
    this->stream->sendFrame(frame);
}

void RelayedLink::endChannel()
{
    this->hasChannelEnded = true;
    this->stream->removeChannel(this->channel);
}

void RelayedLink::releaseChannel()
{
    if (!this->isReusable()) {
        this->abort();
        return;
    }
    if (this->isChannelOpened) {
        std::string frame;
        writeRelayRelease(frame, this->channel, !this->state().isPristine());
        this->stream->sendFrame(frame);
    }
    this->endChannel();
}

void RelayedLink::abort()
{
    if (this->hasChannelEnded)
        return;
    if (this->isChannelOpened) {
        std::string frame;
        writeRelaySignal(frame, RelayFrameKind::Drop, this->channel);
        this->stream->sendFrame(frame);
    }
    this->endChannel();
}

void RelayedLink::handleLoad(const ServerLoad& load) { this->linkLoad.record->recordReport(load, this->lastSentAt, bootNow()); }

void RelayedLink::handleReports(const std::vector<LoadReport>& reports)
{
    if (this->linkLoad.exchange)
        this->linkLoad.exchange->handleReports(this->entry.service, reports);
}

void RelayedLink::handleAnswer(std::string_view bytes)
{
    const auto self = this->shared_from_this();
    this->hasServerAnswered = true;
    if (this->processMessages(bytes))
        return;
    this->abort();
    this->notifyLost();
}

void RelayedLink::handleDenial(AcquireOutcome denial)
{
    const auto self = this->shared_from_this();
    this->endChannel();
    this->isServerUnreachable = denial == AcquireOutcome::Unreachable;
    this->isServerLost = this->isServerUnreachable || denial == AcquireOutcome::Refused;
    if (this->listener())
        this->listener()->linkDenied(denial);
}

void RelayedLink::handleServerLoss()
{
    const auto self = this->shared_from_this();
    this->endChannel();
    this->isServerLost = true;
    this->notifyLost();
}

void RelayedLink::handleStreamLoss(bool wereSent)
{
    const auto self = this->shared_from_this();
    this->hasChannelEnded = true;
    if (wereSent || !this->isChannelOpened)
        this->notifyLost();
    else if (this->listener())
        this->listener()->linkDenied(AcquireOutcome::Unreachable);
}

}
