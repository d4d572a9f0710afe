#include "foxtailtrail/proxy/ServerCommands.h"

#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/proxy/BootClock.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/future.hpp>
#include <utility>

namespace foxtail {

namespace {

    // The name under which backend servers see the connections that carry orders.
    constexpr const char* orderConnectionName = "foxtailtrail";

}

// One order to one server: opens a connection unless there is one, sends the order, and fulfils the promise.
class ServerCommands::Exchange final : public LinkListener, public std::enable_shared_from_this<ServerCommands::Exchange> {
public:
    Exchange(const BackendCodec& codec, const ServerEntry& entry, std::string order)
        : codec(codec)
        , order(std::move(order))
    {
        this->status.server = entry.id;
        this->status.isDraining = entry.isDraining;
        this->status.requestedAt = bootNow();
    }

    boost::fibers::future<ProbedStatus> start(
        boost::asio::io_context& context, const ServerEntry& entry, const std::shared_ptr<DirectLink>& kept, Duration timeout)
    {
        auto self = this->shared_from_this();
        auto timer = std::make_shared<boost::asio::steady_timer>(context, timeout);
        timer->async_wait([self, timer](const boost::system::error_code&) { self->expire(); });
        if (kept) {
            this->link = kept;
            this->sendOrder();
        } else {
            this->link = DirectLink::open(
                context, this->codec, entry, orderConnectionName, [self](LinkOpenOutcome how, const std::shared_ptr<DirectLink>&) {
                    if (how == LinkOpenOutcome::Opened)
                        self->sendOrder();
                    else
                        self->finish(how == LinkOpenOutcome::Refused         ? ProbeOutcome::Refused
                                : how == LinkOpenOutcome::TooManyConnections ? ProbeOutcome::Full
                                                                             : ProbeOutcome::Silent);
                });
        }
        return this->promise.get_future();
    }

    // The connection, when it can be used again.
    std::shared_ptr<DirectLink> usableLink() const
    {
        return this->link && this->link->isOpen() && this->link->outstandingStatements() == 0 ? this->link : nullptr;
    }

private:
    void sendOrder()
    {
        if (this->isFinished)
            return;
        this->link->setListener(this);
        this->link->sendStatements(this->order, 1);
    }

    void linkReplied(LinkReply&& reply) override
    {
        const auto self = this->shared_from_this();
        this->link->setListener(nullptr);
        const std::optional<ProbedStatus> read
            = reply.succeeded() && reply.rows.size() == 1 ? this->codec.parseStatus(reply.rows.front()) : std::nullopt;
        if (read) {
            ProbedStatus answered = *read;
            answered.server = this->status.server;
            answered.isDraining = this->status.isDraining;
            answered.requestedAt = this->status.requestedAt;
            this->status = answered;
        }
        this->finish(read ? ProbeOutcome::Answered : reply.errorCode == BackendErrorCode::Busy ? ProbeOutcome::Full : ProbeOutcome::Silent);
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
            this->link->close();
        }
        this->finish(ProbeOutcome::Silent);
    }

    void finish(ProbeOutcome outcome)
    {
        if (std::exchange(this->isFinished, true))
            return;
        this->status.outcome = outcome;
        this->promise.set_value(this->status);
    }

    const BackendCodec& codec;
    std::string order;
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
        std::string farewell;
        this->codec.writeTerminate(farewell);
        link->send(farewell);
        link->close();
    }
}

std::vector<ProbedStatus> ServerCommands::sendToAll(
    const std::vector<ServerEntry>& servers, BackendCommand order, Term term, Duration timeout)
{
    std::string bytes;
    this->codec.writeCommand(bytes, order, term, std::nullopt);
    std::vector<std::shared_ptr<Exchange>> exchanges;
    std::vector<boost::fibers::future<ProbedStatus>> answers;
    for (const ServerEntry& server : servers) {
        const auto kept = this->links.find(server.id);
        const bool usable = kept != this->links.end() && kept->second->isOpen();
        exchanges.push_back(std::make_shared<Exchange>(this->codec, server, bytes));
        answers.push_back(exchanges.back()->start(this->context, server, usable ? kept->second : nullptr, timeout));
    }
    std::vector<ProbedStatus> statuses;
    for (size_t index = 0; index < servers.size(); ++index) {
        statuses.push_back(answers[index].get());
        this->links.erase(servers[index].id);
        if (auto link = exchanges[index]->usableLink())
            this->links.emplace(servers[index].id, std::move(link));
    }
    return statuses;
}

}
