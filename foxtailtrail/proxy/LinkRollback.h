#pragma once

#include "foxtailtrail/proxy/StatementRun.h"

#include <memory>

namespace foxtail {

// Rolls back the open transaction of a connection and gives the connection back. Keeps itself alive until then.
class LinkRollback final : public LinkUser, public std::enable_shared_from_this<LinkRollback> {
public:
    static void start(PinnedLink, const BackendCodec&);

private:
    explicit LinkRollback(PinnedLink pinned)
        : pinned(std::move(pinned))
    {
    }
    void linkReplied(LinkReply&&) override;
    void linkLost() override;

    PinnedLink pinned;
    std::shared_ptr<LinkRollback> self;
};

}
