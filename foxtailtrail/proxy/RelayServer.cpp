#include "foxtailtrail/proxy/RelayServer.h"

#include "foxtailtrail/net/Listen.h"
#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>
#include <string>
#include <utility>

namespace foxtail {

using Tcp = boost::asio::ip::tcp;

namespace {

    constexpr std::chrono::milliseconds acceptRetryDelay(50);

}

// A channel through which another VM uses one connection.
class RelayChannel final : public LinkListener, public std::enable_shared_from_this<RelayChannel> {
public:
    // Sends a frame to the other VM.
    using FrameSender = std::function<void(const std::string&)>;
    // Called when the channel ends by itself, that is, without a frame from the other VM.
    using EndedCallback = std::function<void(uint32_t)>;

    RelayChannel(uint32_t number, std::shared_ptr<LinkPool> pool, const BackendCodec& codec, RelayServer::EvacuationCheck evacuationCheck,
        LoadExchange* exchange, FrameSender frameSender, EndedCallback endedCallback)
        : channelNumber(number)
        , pool(std::move(pool))
        , codec(codec)
        , isEvacuated(std::move(evacuationCheck))
        , loadExchange(exchange)
        , sendFrame(std::move(frameSender))
        , onEnded(std::move(endedCallback))
    {
    }

    void open(const RelayRequest& request, size_t count, std::string_view bytes)
    {
        this->queuedStatements = bytes;
        this->queuedStatementCount = count;
        auto self = this->shared_from_this();
        const TimePoint now = bootNow();
        const TimePoint objectiveAt = request.objectiveInMs ? now + std::chrono::milliseconds(*request.objectiveInMs) : TimePoint::max();
        const uint64_t acquireTicket = this->pool->acquire(
            { request.organisation, request.priority, now + std::chrono::milliseconds(request.maxWaitMs), objectiveAt, request.isControl },
            [self](AcquireOutcome outcome, const std::shared_ptr<BackendLink>& acquired) { self->acquired(outcome, acquired); });
        if (!this->link && !this->hasEnded)
            this->ticket = acquireTicket;
    }

    void forwardStatements(size_t count, std::string_view bytes)
    {
        if (this->link && !this->isResetting) {
            if (this->mayForward(bytes))
                this->link->sendStatements(bytes, count);
            else
                this->loseLink();
        } else {
            this->queuedStatements += bytes;
            this->queuedStatementCount += count;
        }
    }

    void handleReports(const std::vector<LoadReport>& reports)
    {
        if (this->loadExchange)
            this->loadExchange->handleReports(this->pool->server().service, reports);
    }

    void release(bool leavesState)
    {
        this->hasEnded = true;
        if (!this->link)
            return;
        if (leavesState)
            this->link->state().markUnknown();
        this->pool->release(std::exchange(this->link, nullptr));
    }

    void drop()
    {
        this->hasEnded = true;
        if (this->ticket != 0)
            this->pool->cancel(this->ticket);
        if (this->link)
            this->pool->drop(std::exchange(this->link, nullptr));
    }

private:
    void acquired(AcquireOutcome outcome, const std::shared_ptr<BackendLink>& acquired)
    {
        this->ticket = 0;
        if (this->hasEnded) {
            if (acquired)
                this->pool->release(acquired);
            return;
        }
        if (outcome != AcquireOutcome::Acquired) {
            this->deny(outcome);
            return;
        }
        if (!this->mayForward(this->queuedStatements)) {
            this->pool->release(acquired);
            this->deny(AcquireOutcome::Gone);
            return;
        }
        this->link = acquired;
        this->link->setListener(this);
        if (this->link->state().isPristine()) {
            this->sendQueuedStatements();
            return;
        }
        // State that an earlier session has left must be reset before statements of this one are sent.
        this->isResetting = true;
        std::string reset;
        this->codec.writeRestore(reset, RestoreStep { RestoreStep::Kind::Reset, {}, {}, false });
        this->link->sendStatements(reset, 1);
    }

    // Returns whether the statements may be sent to the server. While its data centre is evacuated, only a question for its status may: the
    // VMs use it to find out which server leads. The VM that sent the statements may not know of the evacuation.
    bool mayForward(std::string_view bytes) const
    {
        if (!this->isEvacuated(this->pool->server().id))
            return true;
        std::string statusQuestion;
        this->codec.writeCommand(statusQuestion, BackendCommand::Status, Term {}, std::nullopt);
        return bytes == statusQuestion;
    }

    void sendQueuedStatements()
    {
        this->link->sendStatements(std::exchange(this->queuedStatements, {}), std::exchange(this->queuedStatementCount, 0));
    }

    std::optional<ServerLoad> reportedLoad() const { return this->loadExchange ? this->pool->load() : std::nullopt; }

    void writeReports(std::string& frame) const
    {
        if (!this->loadExchange)
            return;
        const std::vector<LoadReport> reports = this->loadExchange->reportsBeside(this->pool->server());
        if (!reports.empty())
            writeRelayLoads(frame, this->channelNumber, reports);
    }

    void deny(AcquireOutcome outcome)
    {
        std::string frame;
        std::optional<uint32_t> returnAfterMs;
        if (const auto returnAt = outcome == AcquireOutcome::Exhausted ? this->pool->nextReturnAt() : std::nullopt)
            returnAfterMs = static_cast<uint32_t>(std::clamp<int64_t>(toMilliseconds(*returnAt - bootNow()), 0, UINT32_MAX - 1));
        writeRelayDenied(frame, this->channelNumber, outcome, returnAfterMs, this->reportedLoad());
        this->end(frame);
    }

    void end(const std::string& frame)
    {
        const auto self = this->shared_from_this();
        this->hasEnded = true;
        this->sendFrame(frame);
        this->onEnded(this->channelNumber);
    }

    void linkMessageReceived(std::string_view bytes) override
    {
        if (!this->isResetting)
            this->answer += bytes;
    }

    void linkReplied(LinkReply&& linkReply) override
    {
        const auto self = this->shared_from_this();
        if (std::exchange(this->isResetting, false)) {
            if (!linkReply.succeeded()) {
                this->pool->drop(std::exchange(this->link, nullptr));
                this->deny(AcquireOutcome::Unreachable);
                return;
            }
            this->link->state().clear();
            if (!this->mayForward(this->queuedStatements)) {
                this->pool->release(std::exchange(this->link, nullptr));
                this->deny(AcquireOutcome::Gone);
                return;
            }
            this->sendQueuedStatements();
            return;
        }
        if (!provesNotRun(linkReply.errorCode))
            this->pool->recordServiceTime(bootNow() - linkReply.sentAt, !linkReply.succeeded());
        std::string frame;
        this->writeReports(frame);
        writeRelayAnswer(frame, this->channelNumber, std::exchange(this->answer, {}), this->reportedLoad());
        this->sendFrame(frame);
        if (linkReply.errorCode == BackendErrorCode::Busy)
            this->pool->recordBusy();
        else
            this->pool->recordReply(linkReply.sentAt);
    }

    void linkLost() override
    {
        const auto self = this->shared_from_this();
        if (this->isResetting) {
            this->pool->drop(std::exchange(this->link, nullptr));
            this->deny(AcquireOutcome::Unreachable);
            return;
        }
        this->loseLink();
    }

    // Closes the connection, so that the server rolls back, and tells the other VM.
    void loseLink()
    {
        const auto self = this->shared_from_this();
        this->pool->drop(std::exchange(this->link, nullptr));
        std::string frame;
        writeRelaySignal(frame, RelayFrameKind::Lost, this->channelNumber);
        this->end(frame);
    }

    uint32_t channelNumber;
    std::shared_ptr<LinkPool> pool;
    const BackendCodec& codec;
    RelayServer::EvacuationCheck isEvacuated;
    LoadExchange* loadExchange;
    FrameSender sendFrame;
    EndedCallback onEnded;
    std::shared_ptr<BackendLink> link;
    uint64_t ticket = 0;
    // Statements that wait for the connection or for its reset.
    std::string queuedStatements;
    size_t queuedStatementCount = 0;
    bool isResetting = false;
    bool hasEnded = false;
    // The messages of the answer that is being received.
    std::string answer;
};

// A connection from another VM.
class RelayServer::Connection final : public TcpStream {
public:
    Connection(Tcp::socket socket, RelayServer& server)
        : TcpStream(std::move(socket))
        , server(server)
    {
    }

    void start()
    {
        this->startReading();
        if (this->server.isStopping)
            this->announceStop();
    }

    void announceStop()
    {
        std::string frame;
        writeRelaySignal(frame, RelayFrameKind::Leaving, 0);
        this->send(frame);
    }

    size_t channelCount() const { return this->channels.size(); }

private:
    size_t received(std::string_view bytes) override
    {
        std::string_view rest = bytes;
        RelayFrame frame;
        while (this->isOpen()) {
            const RelayReadResult readResult = readRelayFrame(rest, frame);
            if (readResult == RelayReadResult::Incomplete)
                break;
            if (readResult == RelayReadResult::Malformed) {
                this->closeAfter("malformed frame");
                break;
            }
            if (frame.kind == RelayFrameKind::Open && this->channels.count(frame.channel) > 0) {
                this->closeAfter("a channel that is open was opened again");
                break;
            }
            this->handle(frame);
        }
        return bytes.size() - rest.size();
    }

    void closeAfter(std::string_view violation)
    {
        logEvent(LogLevel::Warning, "relay connection closed", { { "detail", violation } });
        this->close();
        this->disconnected();
    }

    void handle(const RelayFrame& frame)
    {
        if (frame.kind == RelayFrameKind::Ping) {
            std::string pong;
            writeRelaySignal(pong, RelayFrameKind::Pong, 0);
            this->send(pong);
            return;
        }
        if (frame.kind == RelayFrameKind::Open) {
            this->openChannel(frame);
            return;
        }
        // The channel may have ended here while the frame was in transit.
        const auto found = this->channels.find(frame.channel);
        if (found == this->channels.end())
            return;
        const std::shared_ptr<RelayChannel> channel = found->second;
        if (frame.kind == RelayFrameKind::Statements) {
            channel->forwardStatements(frame.statementCount, frame.bytes);
            return;
        }
        if (frame.kind == RelayFrameKind::Loads) {
            channel->handleReports(frame.reports);
            return;
        }
        this->channels.erase(found);
        if (frame.kind == RelayFrameKind::Release)
            channel->release(frame.leavesState);
        else
            channel->drop();
    }

    void openChannel(const RelayFrame& frame)
    {
        const std::shared_ptr<LinkPool> pool = this->server.findPool(frame.request.server);
        if (!pool) {
            std::string denied;
            writeRelayDenied(denied, frame.channel, AcquireOutcome::Gone, std::nullopt);
            this->send(denied);
            return;
        }
        auto self = std::static_pointer_cast<Connection>(this->shared_from_this());
        const auto channel = std::make_shared<RelayChannel>(
            frame.channel, pool, this->server.codec, this->server.isEvacuated, this->server.loadExchange,
            [self](const std::string& bytes) { self->send(bytes); }, [self](uint32_t number) { self->channels.erase(number); });
        this->channels.emplace(frame.channel, channel);
        channel->open(frame.request, frame.statementCount, frame.bytes);
    }

    void disconnected() override
    {
        const auto self = std::static_pointer_cast<Connection>(this->shared_from_this());
        const auto lost = std::exchange(this->channels, {});
        for (const auto& [number, channel] : lost)
            channel->drop();
        this->server.connections.erase(self);
    }

    RelayServer& server;
    std::map<uint32_t, std::shared_ptr<RelayChannel>> channels;
};

RelayServer::RelayServer(boost::asio::io_context& context, const BackendCodec& codec, FindPool findPool, EvacuationCheck evacuationCheck)
    : context(context)
    , codec(codec)
    , findPool(std::move(findPool))
    , isEvacuated(std::move(evacuationCheck))
    , acceptor(context)
    , retryTimer(context)
{
}

RelayServer::~RelayServer() = default;

Result<void> RelayServer::listen(const Endpoint& endpoint)
{
    BOOST_OUTCOME_TRY(listenOn(this->acceptor, endpoint, "other VMs"));
    this->acceptNext();
    return succeed();
}

uint16_t RelayServer::localPort() const
{
    boost::system::error_code code;
    const Tcp::endpoint endpoint = this->acceptor.local_endpoint(code);
    return code ? uint16_t { 0 } : endpoint.port();
}

void RelayServer::acceptNext()
{
    this->acceptor.async_accept([this](const boost::system::error_code& code, Tcp::socket socket) {
        if (code == boost::asio::error::operation_aborted)
            return;
        if (!code) {
            const auto connection = std::make_shared<Connection>(std::move(socket), *this);
            this->connections.insert(connection);
            connection->start();
        } else {
            logEvent(LogLevel::Warning, "accepting a relay connection failed", { { "detail", code.message() } });
            // An error such as a lack of descriptors would repeat at once.
            this->retryTimer.expires_after(acceptRetryDelay);
            this->retryTimer.async_wait([this](const boost::system::error_code& timerCode) {
                if (!timerCode)
                    this->acceptNext();
            });
            return;
        }
        this->acceptNext();
    });
}

void RelayServer::announceStop()
{
    this->isStopping = true;
    for (const auto& connection : this->connections)
        connection->announceStop();
}

size_t RelayServer::channelCount() const
{
    size_t count = 0;
    for (const auto& connection : this->connections)
        count += connection->channelCount();
    return count;
}

}
