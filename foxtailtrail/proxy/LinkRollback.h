#pragma once

#include "foxtailtrail/proxy/StatementRun.h"

#include <memory>

namespace foxtail {

// Rolls back the open transaction of a connection and returns the connection to its pool. The object owns itself until then.
class LinkRollback final : public LinkListener, public std::enable_shared_from_this<LinkRollback> {
public:
    static void start(PooledLink, const BackendCodec&);

private:
    explicit LinkRollback(PooledLink linkToRollBack)
        : pooledLink(std::move(linkToRollBack))
    {
    }
    void linkReplied(LinkReply&&) override;
    void linkLost() override;

    PooledLink pooledLink;
    std::shared_ptr<LinkRollback> selfReference;
};

}
