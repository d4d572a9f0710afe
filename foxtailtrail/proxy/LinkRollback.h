#pragma once

#include "foxtailtrail/proxy/StatementRun.h"

#include <memory>

namespace foxtail {

// Rolls back the open transaction of a connection and gives the connection back. Keeps itself alive until then.
class LinkRollback final : public LinkListener, public std::enable_shared_from_this<LinkRollback> {
public:
    static void start(PooledLink, const BackendCodec&);

private:
    explicit LinkRollback(PooledLink pinned)
        : pooledLink(std::move(pinned))
    {
    }
    void linkReplied(LinkReply&&) override;
    void linkLost() override;

    PooledLink pooledLink;
    std::shared_ptr<LinkRollback> self;
};

}
