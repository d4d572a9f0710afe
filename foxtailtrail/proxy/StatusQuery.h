#pragma once

#include "foxtailtrail/proxy/LinkPool.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace foxtail {

// Asks a server for its status over a pooled connection. It keeps itself alive until the answer or the loss of the connection.
class StatusQuery final : public LinkListener, public std::enable_shared_from_this<StatusQuery> {
public:
    using Callback = std::function<void(const std::optional<ProbedStatus>&)>;

    // The callback gets nothing when the server has not answered by the deadline, or refused.
    static void start(const std::shared_ptr<LinkPool>&, const BackendCodec&, const std::string& organisation, TimePoint deadline, Callback);

private:
    StatusQuery(std::shared_ptr<LinkPool>, const BackendCodec&, Callback);
    void acquired(AcquireOutcome, const std::shared_ptr<BackendLink>&);
    void linkReplied(LinkReply&&) override;
    void linkLost() override;

    std::shared_ptr<LinkPool> pool;
    const BackendCodec& codec;
    Callback callback;
    std::shared_ptr<BackendLink> link;
    // Set while the link is in use.
    std::shared_ptr<StatusQuery> self;
};

}
