#include "foxtailtrail/proxy/LinkRollback.h"

#include <utility>

namespace foxtail {

void LinkRollback::start(PooledLink linkToRollBack, const BackendCodec& codec)
{
    // A connection with an outstanding reply cannot be reused; closing it makes the server roll back.
    if (!linkToRollBack.link->isUsable() || linkToRollBack.link->outstandingStatements() > 0) {
        linkToRollBack.pool->drop(linkToRollBack.link);
        return;
    }
    std::shared_ptr<LinkRollback> rollback(new LinkRollback(std::move(linkToRollBack)));
    rollback->selfReference = rollback;
    rollback->pooledLink.link->setListener(rollback.get());
    std::string command;
    codec.writeCommand(command, BackendCommand::Rollback, Term {}, std::nullopt);
    rollback->pooledLink.link->sendStatements(command, 1);
}

void LinkRollback::linkReplied(LinkReply&&)
{
    const auto keepAlive = std::exchange(this->selfReference, nullptr);
    // release() closes the connection if it is still inside a transaction after the reply.
    this->pooledLink.pool->release(this->pooledLink.link);
}

void LinkRollback::linkLost()
{
    const auto keepAlive = std::exchange(this->selfReference, nullptr);
    this->pooledLink.pool->drop(this->pooledLink.link);
}

}
