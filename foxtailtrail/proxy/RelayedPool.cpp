#include "foxtailtrail/proxy/RelayedPool.h"

#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>
#include <utility>

namespace foxtail {

namespace {

    // A VM that did not answer is left out for this long; a restart takes one to four seconds. It doubles with each further loss.
    constexpr Duration lostRelayTime = std::chrono::milliseconds(1500);
    // A VM that stops is gone within its grace and back as a new process.
    constexpr Duration leavingRelayTime = std::chrono::seconds(6);
    constexpr unsigned maxLossDoublings = 4;
    constexpr Duration unreachableTime = std::chrono::seconds(1);

}

RelayStreamPool::RelayStreamPool(boost::asio::io_context& context, RelayPlacement placement)
    : context(context)
    , placement(std::move(placement))
{
}

void RelayStreamPool::setCandidates(const std::vector<RelayCandidate>& candidates, std::map<VmId, Endpoint> at)
{
    this->placement.setCandidates(candidates);
    this->addresses = std::move(at);
}

std::optional<VmId> RelayStreamPool::relayFor(const ServerEntry& server, TimePoint now)
{
    return this->placement.relayFor(server.id, server.dataCentre, now);
}

std::shared_ptr<RelayStream> RelayStreamPool::streamFor(const ServerEntry& server, TimePoint now)
{
    while (const std::optional<VmId> vm = this->relayFor(server, now)) {
        const auto address = this->addresses.find(*vm);
        // This VM has no address here.
        if (address == this->addresses.end())
            return nullptr;
        std::shared_ptr<RelayStream>& stream = this->streams[*vm];
        if (!stream)
            stream = RelayStream::open(this->context, address->second);
        if (stream->isUsable())
            return stream;
        this->excludeRelay(*vm, now);
    }
    return nullptr;
}

void RelayStreamPool::excludeRelay(const VmId& vm, TimePoint now)
{
    const auto stream = this->streams.find(vm);
    // Statements that were told of the loss have already tried again.
    if (stream == this->streams.end())
        return;
    const bool leaves = stream->second->isLeaving();
    const Duration lostTime = lostRelayTime * (1 << std::min(this->consecutiveLosses[vm]++, maxLossDoublings));
    this->placement.exclude(vm, now + (leaves ? leavingRelayTime : lostTime));
    this->streams.erase(stream);
    logEvent(LogLevel::Info, "relay passed over", { { "relay", vm.value }, { "reason", leaves ? "it stops" : "it does not answer" } });
}

void RelayStreamPool::recordUnreachableServer(const std::shared_ptr<RelayStream>& used, const BackendServerId& server, TimePoint now)
{
    for (const auto& [vm, stream] : this->streams) {
        if (stream == used) {
            this->placement.exclude(vm, server, now + unreachableTime);
            logEvent(LogLevel::Info, "relay passed over",
                { { "relay", vm.value }, { "server", server.value }, { "reason", "it does not reach the server" } });
        }
    }
}

void RelayStreamPool::sweep(TimePoint now)
{
    const auto current = this->streams;
    for (const auto& [vm, stream] : current) {
        stream->sweep(now);
        if (stream->isConnected())
            this->consecutiveLosses.erase(vm);
        const auto held = this->streams.find(vm);
        if (!stream->isUsable() && held != this->streams.end() && held->second == stream)
            this->excludeRelay(vm, now);
    }
}

RelayedPool::RelayedPool(RelayStreamPool& routes, const BackendCodec& codec, const ServerEntry& entry)
    : LinkPool(entry)
    , relayStreams(routes)
    , codec(codec)
{
}

uint64_t RelayedPool::acquire(const std::string& organisation, uint32_t priority, TimePoint giveUpAt, AcquireCallback callback)
{
    std::shared_ptr<RelayStream> stream = this->relayStreams.streamFor(this->server(), bootNow());
    if (!stream) {
        callback(AcquireOutcome::Gone, nullptr);
        return 0;
    }
    const auto link = RelayedLink::create(this->codec, this->server(), organisation, priority, giveUpAt, std::move(stream));
    this->linksInUse.emplace(link.get(), link);
    callback(AcquireOutcome::Acquired, link);
    return 0;
}

void RelayedPool::release(const std::shared_ptr<BackendLink>& given)
{
    const auto used = this->linksInUse.extract(given.get());
    used.mapped()->setListener(nullptr);
    used.mapped()->releaseChannel();
}

void RelayedPool::drop(const std::shared_ptr<BackendLink>& given)
{
    const auto used = this->linksInUse.extract(given.get());
    const std::shared_ptr<RelayedLink>& link = used.mapped();
    if (link->wasServerUnreachable())
        this->relayStreams.recordUnreachableServer(link->relayStream(), this->server().id, bootNow());
    link->setListener(nullptr);
    link->abort();
}

}
