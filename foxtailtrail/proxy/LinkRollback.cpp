#include "foxtailtrail/proxy/LinkRollback.h"

#include <utility>

namespace foxtail {

void LinkRollback::start(PooledLink pinned, const BackendCodec& codec)
{
    // A connection with an answer outstanding is never used again; closing it rolls back.
    if (!pinned.link->isUsable() || pinned.link->outstandingStatements() > 0) {
        pinned.pool->drop(pinned.link);
        return;
    }
    std::shared_ptr<LinkRollback> rollback(new LinkRollback(std::move(pinned)));
    rollback->self = rollback;
    rollback->pooledLink.link->setListener(rollback.get());
    std::string order;
    codec.writeCommand(order, BackendCommand::Rollback, Term {}, std::nullopt);
    rollback->pooledLink.link->sendStatements(order, 1);
}

void LinkRollback::linkReplied(LinkReply&&)
{
    const auto keep = std::exchange(this->self, nullptr);
    // release() closes the connection unless the answer left it outside of a transaction.
    this->pooledLink.pool->release(this->pooledLink.link);
}

void LinkRollback::linkLost()
{
    const auto keep = std::exchange(this->self, nullptr);
    this->pooledLink.pool->drop(this->pooledLink.link);
}

}
