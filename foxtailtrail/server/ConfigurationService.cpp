#include "foxtailtrail/server/ConfigurationService.h"

#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/server/Log.h"

#include <boost/fiber/fiber.hpp>

namespace foxtail {

namespace {

    json::object encodeReport(const std::optional<VersionReport>& report)
    {
        if (!report)
            return {};
        return { { "version", report->version }, { "digest", report->digest } };
    }

    std::optional<VersionReport> decodeReport(const json::object& object)
    {
        const Result<uint64_t> version = unsignedMember(object, "version");
        const Result<std::string> digest = stringMember(object, "digest");
        if (!version || !digest)
            return std::nullopt;
        return VersionReport { version.value(), digest.value() };
    }

    Endpoint endpointOf(const VmAddress& vm) { return { vm.address, vm.peerPort }; }

    // Calls the function for each item in its own fiber and waits for all of them.
    template <typename Items, typename Function> void forEachConcurrently(const Items& items, Function function)
    {
        std::vector<boost::fibers::fiber> fibers;
        fibers.reserve(items.size());
        for (const auto& item : items)
            fibers.emplace_back([&function, item] { function(item); });
        for (auto& fiber : fibers)
            fiber.join();
    }

}

ConfigurationService::ConfigurationService(
    ConfigurationServiceSettings settings, StoreClient& store, PeerClient& peers, std::function<void()> onChange)
    : settings(std::move(settings))
    , store(store)
    , peers(peers)
    , onChange(std::move(onChange))
    , freshness(this->settings.freshness)
{
}

void ConfigurationService::check()
{
    this->checkStore();
    if (!this->storeReachable) {
        if (!this->installedConfiguration.document())
            this->bootstrap();
        this->queryWitnesses();
    }
    this->onChange();
}

void ConfigurationService::checkStore()
{
    const TimePoint sentAt = now();
    const Result<std::optional<StoredRow>> stored = this->store.readRow(std::string(configurationRowKey));
    const bool wasReachable = this->storeReachable;
    this->storeReachable = stored.has_value();
    if (wasReachable != this->storeReachable)
        logEvent(LogLevel::Warning, this->storeReachable ? "store reachable" : "store unreachable");
    this->storeEmpty = stored && !stored.value();
    if (!stored || !stored.value())
        return;

    const Result<ConfigurationRow> row = parseConfigurationRow(json::serialize(stored.value()->value));
    if (!row) {
        logEvent(LogLevel::Error, "configuration row invalid", { { "detail", row.error().detail } });
        return;
    }
    if (row.value().version() > this->installedConfiguration.version())
        this->fetchFromStore(row.value());
    this->freshness.recordStoreReport({ row.value().version(), row.value().digest }, sentAt);
}

void ConfigurationService::fetchFromStore(const ConfigurationRow& row)
{
    const Result<std::string> text = this->store.readObject(configurationObjectName(row.version(), row.digest));
    if (text)
        this->installText(text.value(), row.digest);
    else
        logEvent(
            LogLevel::Warning, "configuration object unavailable", { { "version", row.version() }, { "detail", text.error().detail } });
}

void ConfigurationService::installText(std::string_view text, std::string_view digest)
{
    const Result<InstallOutcome> installOutcome = this->installedConfiguration.installTextIfNewer(text, digest);
    if (!installOutcome) {
        logEvent(LogLevel::Error, "configuration rejected", { { "detail", installOutcome.error().detail } });
        return;
    }
    if (installOutcome.value() != InstallOutcome::Installed)
        return;
    this->freshness.recordInstallation(*this->installedConfiguration.document(), this->installedConfiguration.digest());
    logEvent(LogLevel::Info, "configuration installed",
        { { "version", this->installedConfiguration.version() }, { "author", this->installedConfiguration.document()->author } });
}

void ConfigurationService::queryWitnesses()
{
    const ConfigurationDocument document = this->installedConfiguration.document();
    if (!document)
        return;
    forEachConcurrently(document->witnesses, [this](const VmAddress& witness) {
        if (witness.id == this->settings.self)
            this->freshness.recordWitnessReport(witness.id, this->freshness.ownReport(), now());
        else
            this->queryWitness(endpointOf(witness), witness.id);
    });
}

void ConfigurationService::queryWitness(const Endpoint& endpoint, const VmId& witness)
{
    const TimePoint sentAt = now();
    const Result<json::object> reply = this->peers.call(endpoint, TrafficPurpose::Configuration, "configurationVersion",
        { { "version", this->installedConfiguration.version() }, { "address", "" } }, sentAt + this->settings.peerTimeout);
    if (!reply)
        return;
    const std::optional<VersionReport> report = decodeReport(reply.value());
    if (report && report->version > this->installedConfiguration.version())
        this->fetchFromPeer(endpoint);
    this->freshness.recordWitnessReport(witness, report, sentAt);
}

void ConfigurationService::bootstrap()
{
    forEachConcurrently(this->settings.bootstrapPeers, [this](const Endpoint& peer) { this->fetchFromPeer(peer); });
}

void ConfigurationService::fetchFromPeer(const Endpoint& peer)
{
    const Result<json::object> reply
        = this->peers.call(peer, TrafficPurpose::Configuration, "configurationDocument", {}, now() + this->settings.peerTimeout);
    if (!reply)
        return;
    const Result<std::string> text = stringMember(reply.value(), "text");
    if (text)
        this->installText(text.value(), "");
}

json::object ConfigurationService::handleVersionRequest(const json::object& parameters)
{
    const Result<uint64_t> offeredVersion = unsignedMember(parameters, "version");
    const Result<std::string> address = stringMember(parameters, "address");
    const Result<uint64_t> port = unsignedMember(parameters, "port");
    if (offeredVersion && address && port && offeredVersion.value() > this->installedConfiguration.version()) {
        this->fetchFromPeer({ address.value(), static_cast<uint16_t>(port.value()) });
        this->onChange();
    }
    return encodeReport(this->freshness.ownReport());
}

Result<json::object> ConfigurationService::handleDocumentRequest() const
{
    if (!this->installedConfiguration.document())
        return fail(ErrorKind::ConfigurationStale, "this VM has no configuration yet");
    return json::object { { "text", serializeConfiguration(*this->installedConfiguration.document()) } };
}

ProposalOutcome ConfigurationService::propose(ConfigurationChange change, TimePoint deadline)
{
    ChangeProposal proposal({}, std::move(change), deadline);
    this->perform(proposal.start(now()), proposal);
    while (!proposal.outcome()) {
        sleepUntil(proposal.nextTickAt());
        this->perform(proposal.tick(now()), proposal);
    }
    this->onChange();
    return *proposal.outcome();
}

void ConfigurationService::perform(const std::vector<ProposalEffect>& effects, ChangeProposal& proposal)
{
    for (const ProposalEffect& effect : effects) {
        if (const auto* call = std::get_if<StoreCall>(&effect))
            this->perform(proposal.handleStoreResponse(this->callStore(*call), now()), proposal);
        else
            this->distribute(std::get<DistributeVersion>(effect), proposal);
    }
}

StoreResponse ConfigurationService::callStore(const StoreCall& call)
{
    StoreResponse reply { call.callId, StoreFailed {} };
    if (std::holds_alternative<ReadRow>(call.request)) {
        const Result<std::optional<StoredRow>> stored = this->store.readRow(std::string(configurationRowKey));
        if (stored && !stored.value()) {
            reply.payload = RowResponse {};
        } else if (stored) {
            const Result<ConfigurationRow> row = parseConfigurationRow(json::serialize(stored.value()->value));
            if (row)
                reply.payload = RowResponse { row.value(), stored.value()->version };
        }
    } else if (const auto* read = std::get_if<ReadObject>(&call.request)) {
        const Result<std::string> text = this->store.readObject(read->name);
        if (text)
            reply.payload = ObjectResponse { text.value() };
    } else if (const auto* write = std::get_if<WriteObject>(&call.request)) {
        if (this->store.writeObject(write->name, write->text))
            reply.payload = ObjectWritten {};
    } else {
        const auto& swap = std::get<CompareAndSetRow>(call.request);
        const Result<json::value> value = parseJson(serializeConfigurationRow(swap.row));
        const Result<CompareAndSetOutcome> outcome
            = this->store.compareAndSet(std::string(configurationRowKey), swap.expectedStoreVersion, value.value());
        if (!outcome)
            reply.payload = StoreFailed { outcome.error().kind == ErrorKind::StoreOutcomeUnknown };
        else if (outcome.value().stored)
            reply.payload = RowWritten {};
        else
            reply.payload = RowVersionConflict {};
    }
    return reply;
}

void ConfigurationService::distribute(const DistributeVersion& distribution, ChangeProposal& proposal)
{
    // Installs the stored version on this VM first, so that the witnesses can fetch it from here.
    this->installText(serializeConfiguration(*distribution.document), "");
    this->checkStore();
    forEachConcurrently(distribution.witnesses, [&](const VmAddress& witness) {
        std::optional<VersionReport> report;
        if (witness.id == this->settings.self) {
            report = this->freshness.ownReport();
        } else {
            const Result<json::object> reply = this->peers.call(endpointOf(witness), TrafficPurpose::Configuration, "configurationVersion",
                { { "version", distribution.document->version }, { "address", this->settings.ownEndpoint.address },
                    { "port", this->settings.ownEndpoint.port } },
                now() + this->settings.peerTimeout);
            if (reply)
                report = decodeReport(reply.value());
        }
        this->perform(proposal.handleWitnessReport(witness.id, report, now()), proposal);
    });
}

}
