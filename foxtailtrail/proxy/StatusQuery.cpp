#include "foxtailtrail/proxy/StatusQuery.h"

#include <utility>

namespace foxtail {

StatusQuery::StatusQuery(std::shared_ptr<LinkPool> pool, const BackendCodec& codec, Callback callback)
    : pool(std::move(pool))
    , codec(codec)
    , callback(std::move(callback))
{
}

std::weak_ptr<StatusQuery> StatusQuery::start(const std::shared_ptr<LinkPool>& pool, const BackendCodec& codec,
    const std::string& organisation, TimePoint deadline, Callback callback)
{
    std::shared_ptr<StatusQuery> query(new StatusQuery(pool, codec, std::move(callback)));
    // Priority 0 puts the query ahead of all statements, because those that wait depend on its result.
    pool->acquire({ organisation, 0, deadline, TimePoint::max(), true },
        [query](AcquireOutcome outcome, const std::shared_ptr<BackendLink>& link) { query->acquired(outcome, link); });
    return query;
}

void StatusQuery::giveUp()
{
    if (this->link)
        this->linkLost();
}

void StatusQuery::acquired(AcquireOutcome outcome, const std::shared_ptr<BackendLink>& acquiredLink)
{
    if (outcome != AcquireOutcome::Acquired) {
        this->callback(std::nullopt);
        return;
    }
    this->link = acquiredLink;
    this->self = this->shared_from_this();
    this->link->setListener(this);
    std::string command;
    this->codec.writeCommand(command, BackendCommand::Status, Term {}, std::nullopt);
    this->link->sendStatements(command, 1);
}

void StatusQuery::linkReplied(LinkReply&& reply)
{
    const auto keepAlive = std::exchange(this->self, nullptr);
    std::optional<ProbedStatus> status;
    if (reply.succeeded() && reply.rows.size() == 1)
        status = this->codec.parseStatus(reply.rows.front());
    if (status) {
        status->server = this->link->server();
        status->requestedAt = reply.sentAt;
    }
    this->pool->release(std::exchange(this->link, nullptr));
    this->callback(status);
}

void StatusQuery::linkLost()
{
    const auto keepAlive = std::exchange(this->self, nullptr);
    this->pool->drop(std::exchange(this->link, nullptr));
    this->callback(std::nullopt);
}

}
