#include "foxtailtrail/proxy/ServerCommands.h"

#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/proxy/BootClock.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/future.hpp>
#include <utility>

namespace foxtail {

namespace {

    // The name that backend servers see on connections for commands.
    constexpr const char* commandConnectionName = "foxtailtrail";

    BackendCommand backendCommand(ReplicationCommand command)
    {
        constexpr std::array<BackendCommand, 4> backendCommands { BackendCommand::Status, BackendCommand::Pause, BackendCommand::Resume,
            BackendCommand::Demote };
        return backendCommands[static_cast<size_t>(command)];
    }

}

// One command to one server: opens a connection unless there is one, sends the command, and fulfils the promise.
class ServerCommands::Exchange final : public LinkListener, public std::enable_shared_from_this<ServerCommands::Exchange> {
public:
    Exchange(const BackendCodec& codec, const ServerEntry& entry, std::string command, std::function<bool()> maySend)
        : codec(codec)
        , command(std::move(command))
        , maySend(std::move(maySend))
    {
        this->status.server = entry.id;
        this->status.isDraining = entry.isDraining;
        this->status.requestedAt = bootNow();
    }

    boost::fibers::future<ProbedStatus> start(
        boost::asio::io_context& context, const ServerEntry& entry, const std::shared_ptr<DirectLink>& existingLink, Duration timeout)
    {
        auto self = this->shared_from_this();
        auto timer = std::make_shared<boost::asio::steady_timer>(context, timeout);
        timer->async_wait([self, timer](const boost::system::error_code&) { self->expire(); });
        if (existingLink) {
            this->link = existingLink;
            this->sendCommand();
        } else {
            this->link = DirectLink::open(context, this->codec, entry, commandConnectionName,
                [self](LinkOpenOutcome openOutcome, const std::shared_ptr<DirectLink>&) {
                    if (openOutcome == LinkOpenOutcome::Opened)
                        self->sendCommand();
                    else
                        self->finish(openOutcome == LinkOpenOutcome::Refused         ? ProbeOutcome::Refused
                                : openOutcome == LinkOpenOutcome::TooManyConnections ? ProbeOutcome::Full
                                                                                     : ProbeOutcome::Silent);
                });
        }
        return this->promise.get_future();
    }

    // Returns the connection if it can be reused, else null.
    std::shared_ptr<DirectLink> usableLink() const
    {
        return this->link && this->link->isOpen() && this->link->outstandingStatements() == 0 ? this->link : nullptr;
    }

private:
    void sendCommand()
    {
        if (this->isFinished)
            return;
        if (!this->maySend()) {
            this->finish(ProbeOutcome::Silent);
            return;
        }
        this->link->setListener(this);
        this->link->sendStatements(this->command, 1);
    }

    void linkReplied(LinkReply&& reply) override
    {
        const auto self = this->shared_from_this();
        this->link->setListener(nullptr);
        const std::optional<ProbedStatus> parsedStatus
            = reply.succeeded() && reply.rows.size() == 1 ? this->codec.parseStatus(reply.rows.front()) : std::nullopt;
        if (parsedStatus) {
            ProbedStatus updatedStatus = *parsedStatus;
            updatedStatus.server = this->status.server;
            updatedStatus.isDraining = this->status.isDraining;
            updatedStatus.requestedAt = this->status.requestedAt;
            this->status = updatedStatus;
        }
        this->finish(parsedStatus                           ? ProbeOutcome::Answered
                : reply.errorCode == BackendErrorCode::Busy ? ProbeOutcome::Full
                                                            : ProbeOutcome::Silent);
    }

    void linkLost() override
    {
        const auto self = this->shared_from_this();
        this->finish(ProbeOutcome::Silent);
    }

    void expire()
    {
        if (this->isFinished)
            return;
        if (this->link) {
            this->link->setListener(nullptr);
            // A command that is executed long after it was sent could end the pause of a later promotion.
            this->link->closeWithReset();
        }
        this->finish(ProbeOutcome::Silent);
    }

    void finish(ProbeOutcome outcome)
    {
        if (std::exchange(this->isFinished, true))
            return;
        this->status.outcome = outcome;
        this->status.answeredAt = bootNow();
        this->promise.set_value(this->status);
    }

    const BackendCodec& codec;
    std::string command;
    std::function<bool()> maySend;
    ProbedStatus status;
    std::shared_ptr<DirectLink> link;
    boost::fibers::promise<ProbedStatus> promise;
    bool isFinished = false;
};

ServerCommands::ServerCommands(boost::asio::io_context& context, const BackendCodec& codec)
    : context(context)
    , codec(codec)
{
}

ServerCommands::~ServerCommands()
{
    for (const auto& [id, link] : this->links) {
        std::string terminateMessage;
        this->codec.writeTerminate(terminateMessage);
        link->send(terminateMessage);
        link->close();
    }
}

std::vector<ProbedStatus> ServerCommands::sendToAll(
    const std::vector<ServerCommand>& serverCommands, Term term, Duration timeout, const SendCheck& maySend)
{
    std::vector<std::shared_ptr<Exchange>> exchanges;
    std::vector<boost::fibers::future<ProbedStatus>> futures;
    for (const auto& [server, command] : serverCommands) {
        std::string bytes;
        this->codec.writeCommand(bytes, backendCommand(command), term, std::nullopt);
        const auto existingLink = this->links.find(server.id);
        const bool isUsable = existingLink != this->links.end() && existingLink->second->isOpen();
        exchanges.push_back(std::make_shared<Exchange>(this->codec, server, std::move(bytes),
            [&maySend, replicationCommand = command] { return !maySend || maySend(replicationCommand); }));
        futures.push_back(exchanges.back()->start(this->context, server, isUsable ? existingLink->second : nullptr, timeout));
    }
    std::vector<ProbedStatus> statuses;
    for (size_t index = 0; index < serverCommands.size(); ++index) {
        const BackendServerId& id = serverCommands[index].server.id;
        statuses.push_back(futures[index].get());
        this->links.erase(id);
        if (auto link = exchanges[index]->usableLink())
            this->links.emplace(id, std::move(link));
    }
    return statuses;
}

}
