#pragma once

#include "foxtailtrail/proxy/LinkPool.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace foxtail {

// Requests the status of a server over a pooled connection. The query keeps itself alive until the reply arrives or the connection is lost.
class StatusQuery final : public LinkListener, public std::enable_shared_from_this<StatusQuery> {
public:
    using Callback = std::function<void(const std::optional<ProbedStatus>&)>;

    // Starts a query, which the caller gives up if there is no reply in time. The callback gets an empty optional when no connection could
    // be acquired before the deadline, the connection is lost, the server refuses the command, or its reply holds no status.
    static std::weak_ptr<StatusQuery> start(
        const std::shared_ptr<LinkPool>&, const BackendCodec&, const std::string& organisation, TimePoint deadline, Callback);
    // Closes the connection of a query that has no reply. The callback gets an empty optional.
    void giveUp();

private:
    StatusQuery(std::shared_ptr<LinkPool>, const BackendCodec&, Callback);
    void acquired(AcquireOutcome, const std::shared_ptr<BackendLink>&);
    void linkReplied(LinkReply&&) override;
    void linkLost() override;

    std::shared_ptr<LinkPool> pool;
    const BackendCodec& codec;
    Callback callback;
    std::shared_ptr<BackendLink> link;
    // Keeps this query alive while the link is in use.
    std::shared_ptr<StatusQuery> self;
};

}
