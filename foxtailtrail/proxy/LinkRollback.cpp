#include "foxtailtrail/proxy/LinkRollback.h"

#include <utility>

namespace foxtail {

void LinkRollback::start(PinnedLink pinned, const BackendCodec& codec)
{
    // A connection with an answer outstanding is never used again; closing it rolls back.
    if (!pinned.link->isUsable() || pinned.link->outstanding() > 0) {
        pinned.pool->drop(pinned.link);
        return;
    }
    std::shared_ptr<LinkRollback> rollback(new LinkRollback(std::move(pinned)));
    rollback->self = rollback;
    rollback->pinned.link->setUser(rollback.get());
    std::string order;
    codec.writeOrder(order, ServerOrder::Rollback, Term {}, std::nullopt);
    rollback->pinned.link->sendStatements(order, 1);
}

void LinkRollback::linkReplied(LinkReply&&)
{
    const auto keep = std::exchange(this->self, nullptr);
    // release() closes the connection unless the answer left it outside of a transaction.
    this->pinned.pool->release(this->pinned.link);
}

void LinkRollback::linkLost()
{
    const auto keep = std::exchange(this->self, nullptr);
    this->pinned.pool->drop(this->pinned.link);
}

}
