#include "foxtailtrail/proxy/RelayedPool.h"

#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>
#include <utility>

namespace foxtail {

namespace {

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
    this->trials.recordLoss(vm, isStopping, now);
    this->placement.exclude(vm);
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
        const auto held = this->streams.find(vm);
        if (!stream->isUsable() && held != this->streams.end() && held->second == stream)
            this->excludeRelay(vm, now);
    }
    this->sweepTrials(now);
}

void RelayStreamPool::sweepTrials(TimePoint now)
{
    for (const VmId& vm : this->trials.excludedRelays()) {
        if (this->addresses.count(vm) > 0)
            continue;
        this->trials.remove(vm);
        this->trialStreams.erase(vm);
        this->placement.admit(vm);
    }
    for (const VmId& vm : this->trials.takeDueTrials(now))
        this->trialStreams[vm] = RelayStream::openForTrial(this->context, this->addresses.at(vm));
    for (auto trial = this->trialStreams.begin(); trial != this->trialStreams.end();) {
        const auto [vm, stream] = *trial;
        stream->sweep(now);
        if (stream->isUsable() && !stream->hasAnswered()) {
            ++trial;
            continue;
        }
        trial = this->trialStreams.erase(trial);
        if (!stream->isUsable()) {
            stream->abandon();
            this->trials.recordFailure(vm, now);
            continue;
        }
        this->trials.recordAnswer(vm);
        this->streams[vm] = stream;
        this->placement.admit(vm);
        logEvent(LogLevel::Info, "relay admitted again", { { "relay", vm.value } });
    }
}

RelayedPool::RelayedPool(RelayStreamPool& relayStreamPool, const BackendCodec& codec, const ServerEntry& entry)
    : LinkPool(entry)
    , relayStreams(relayStreamPool)
    , codec(codec)
{
}

uint64_t RelayedPool::acquire(const LinkRequest& request, AcquireCallback callback)
{
    std::shared_ptr<RelayStream> stream = this->relayStreams.streamFor(this->server(), bootNow());
    if (!stream) {
        callback(AcquireOutcome::Gone, nullptr);
        return 0;
    }
    const auto link = RelayedLink::create(
        this->codec, this->server(), request, std::move(stream), { this->loadRecord, this->relayStreams.loadExchange() });
    this->linksInUse.emplace(link.get(), link);
    callback(AcquireOutcome::Acquired, link);
    return 0;
}

std::optional<ServerLoad> RelayedPool::load() const { return this->loadRecord->find(bootNow()); }

void RelayedPool::recordPassedReport(const ServerLoad& load, Duration age) { this->loadRecord->recordPassedReport(load, age, bootNow()); }

std::optional<TimePoint> RelayedPool::oldestUnansweredAt() const
{
    std::optional<TimePoint> oldest;
    for (const auto& [link, owned] : this->linksInUse) {
        const std::optional<TimePoint> sentAt = link->oldestUnansweredAt();
        if (sentAt && (!oldest || *sentAt < *oldest))
            oldest = sentAt;
    }
    // While others are answered, a statement without an answer takes long itself and shows no wait.
    return oldest ? std::optional(std::max(*oldest, this->loadRecord->lastAnswerAt())) : std::nullopt;
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
