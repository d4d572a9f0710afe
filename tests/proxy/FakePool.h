#pragma once

#include "foxtailtrail/proxy/LinkPool.h"
#include "platform/LineProtocol.h"

#include <utility>
#include <vector>

namespace foxtail {

// A connection whose server replies when the test says so.
class FakeLink final : public BackendLink {
public:
    FakeLink(const BackendCodec& backendCodec, const ServerEntry& server)
        : BackendLink(backendCodec, server, "organisation")
    {
    }
    bool isUsable() const override { return !this->isAborted; }
    void abort() override { this->isAborted = true; }
    void receive(std::string_view bytes) { this->processMessages(bytes); }

    bool isAborted = false;
    std::string written;

private:
    void write(std::string_view bytes, size_t) override { this->written += bytes; }
};

// A pool that opens a connection for each request at once.
class FakePool final : public LinkPool {
public:
    FakePool(const BackendCodec& backendCodec, const ServerEntry& server)
        : LinkPool(server)
        , codec(backendCodec)
    {
    }
    uint64_t acquire(const LinkRequest&, AcquireCallback callback) override
    {
        this->links.push_back(std::make_shared<FakeLink>(this->codec, this->server()));
        callback(AcquireOutcome::Acquired, this->links.back());
        return 0;
    }
    void cancel(uint64_t) override { }
    void release(const std::shared_ptr<BackendLink>& link) override { link->setListener(nullptr); }
    void drop(const std::shared_ptr<BackendLink>& link) override
    {
        link->setListener(nullptr);
        link->abort();
    }
    void recordBusy() override { }
    void recordReply(TimePoint) override { }
    bool hasFreeLink(const std::string&) const override { return false; }
    uint32_t outstandingRequests() const override { return 0; }
    std::optional<ServerLoad> load() const override { return this->reportedLoad; }

    std::optional<ServerLoad> reportedLoad;
    std::vector<std::shared_ptr<FakeLink>> links;

private:
    const BackendCodec& codec;
};

}
