#include "foxtailtrail/proxy/RelayedPool.h"

#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>
#include <utility>

namespace foxtail {

namespace {

    // A VM that did not respond is excluded for this long; a restart takes one to four seconds. The time doubles with each further loss, up
    // to maxLossDoublings times.
    constexpr Duration initialLossExclusionLifetime = std::chrono::milliseconds(1500);
    // A VM that announces its stop exits within its grace period, and its successor process has started within this time.
    constexpr Duration stoppingExclusionLifetime = std::chrono::seconds(6);
    constexpr unsigned maxLossDoublings = 4;
    constexpr Duration unreachableServerExclusionLifetime = std::chrono::seconds(1);

}

RelayStreamPool::RelayStreamPool(boost::asio::io_context& context, RelayPlacement placement)
    : context(context)
    , placement(std::move(placement))
{
}

void RelayStreamPool::setCandidates(const std::vector<RelayCandidate>& candidates, std::map<VmId, Endpoint> relayAddresses)
{
    this->placement.setCandidates(candidates);
    this->addresses = std::move(relayAddresses);
}

std::optional<VmId> RelayStreamPool::relayFor(const ServerEntry& server, TimePoint now)
{
    return this->placement.relayFor(server.id, server.dataCentre, now);
}

std::shared_ptr<RelayStream> RelayStreamPool::streamFor(const ServerEntry& server, TimePoint now)
{
    while (const std::optional<VmId> vm = this->relayFor(server, now)) {
        const auto address = this->addresses.find(*vm);
        // The addresses contain only other VMs, so this VM itself is the relay.
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
    // A statement that was notified of the loss may already have retried and excluded the relay.
    if (stream == this->streams.end())
        return;
    const bool isStopping = stream->second->isLeaving();
    const Duration lossExclusionLifetime = initialLossExclusionLifetime * (1 << std::min(this->consecutiveLosses[vm]++, maxLossDoublings));
    this->placement.exclude(vm, now + (isStopping ? stoppingExclusionLifetime : lossExclusionLifetime));
    this->streams.erase(stream);
    logEvent(LogLevel::Info, "relay excluded",
        { { "relay", vm.value }, { "reason", isStopping ? "the VM is stopping" : "the VM does not respond" } });
}

void RelayStreamPool::recordUnreachableServer(const std::shared_ptr<RelayStream>& used, const BackendServerId& server, TimePoint now)
{
    for (const auto& [vm, stream] : this->streams) {
        if (stream == used) {
            this->placement.exclude(vm, server, now + unreachableServerExclusionLifetime);
            logEvent(LogLevel::Info, "relay excluded",
                { { "relay", vm.value }, { "server", server.value }, { "reason", "the VM cannot reach the server" } });
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

RelayedPool::RelayedPool(RelayStreamPool& relayStreamPool, const BackendCodec& codec, const ServerEntry& entry)
    : LinkPool(entry)
    , relayStreams(relayStreamPool)
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

void RelayedPool::release(const std::shared_ptr<BackendLink>& returnedLink)
{
    const auto used = this->linksInUse.extract(returnedLink.get());
    used.mapped()->setListener(nullptr);
    used.mapped()->releaseChannel();
}

void RelayedPool::drop(const std::shared_ptr<BackendLink>& returnedLink)
{
    const auto used = this->linksInUse.extract(returnedLink.get());
    const std::shared_ptr<RelayedLink>& link = used.mapped();
    if (link->wasServerUnreachable())
        this->relayStreams.recordUnreachableServer(link->relayStream(), this->server().id, bootNow());
    link->setListener(nullptr);
    link->abort();
}

}
