#include "foxtailtrail/server/DatabaseHome.h"

#include "foxtailtrail/base/Hash.h"
#include "foxtailtrail/execution/ReadExecution.h"
#include "foxtailtrail/execution/Resolution.h"
#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/scheduling/ConnectionBudget.h"

#include <algorithm>

namespace foxtail {

namespace {

    // Interval at which a request that waits for a change of the group checks the newest view.
    constexpr Duration viewPollInterval = std::chrono::milliseconds(2);

    // Returns whether a read may try another server after this error. The read has no result in any of these cases, and repeating a read is
    // safe.
    bool canTryNextServer(ErrorKind kind)
    {
        switch (kind) {
        case ErrorKind::ReadNotCurrent:
        case ErrorKind::NoPrimary:
        case ErrorKind::PeerUnavailable:
        case ErrorKind::NotHome:
        case ErrorKind::Overloaded:
        case ErrorKind::OutcomeUnknown:
            return true;
        default:
            return false;
        }
    }

    ReadTarget targetOf(const ReadAttempt& attempt)
    {
        ReadTarget target;
        target.source = attempt.kind == ReadAttemptKind::Replica ? AnswerSource::Replica : AnswerSource::Primary;
        if (attempt.requiredLogPoint != LogPoint {})
            target.requiredPosition = attempt.requiredLogPoint;
        target.mustConfirmTerm = attempt.kind == ReadAttemptKind::ConfirmedPrimary;
        return target;
    }

}

DatabaseHome::DatabaseHome(
    DatabaseHomeSettings settings, const SnapshotHolder& snapshotHolder, HomeClient& client, DurabilityWait durabilityWait)
    : settings(std::move(settings))
    , snapshots(snapshotHolder)
    , homeClient(client)
    , durabilityWait(std::move(durabilityWait))
    , router(this->settings.router)
{
}

std::shared_ptr<const GroupView> DatabaseHome::groupView() const
{
    const auto snapshot = this->snapshots.current();
    const auto found = snapshot->groups.find(this->settings.database);
    return found == snapshot->groups.end() ? nullptr : found->second;
}

Region DatabaseHome::primaryRegion() const
{
    const auto group = this->groupView();
    const ServerView* primary = group && group->primary ? group->find(*group->primary) : nullptr;
    return primary ? primary->region : Region();
}

BackendSlotPool* DatabaseHome::heldSlotPool(const BackendServerId& server)
{
    const auto found = this->slotPools.find(server);
    return found != this->slotPools.end() && found->second->claim() ? found->second.get() : nullptr;
}

void DatabaseHome::applySnapshot()
{
    const auto snapshot = this->snapshots.current();
    const auto group = this->groupView();
    if (!snapshot->configuration)
        return;
    const auto found = snapshot->configuration->databases.find(this->settings.database);
    if (found == snapshot->configuration->databases.end()) {
        for (auto& [server, pool] : this->slotPools)
            pool->setClaim(std::nullopt);
        return;
    }
    const Database& database = found->second;
    const auto split = splitConnections(database.maxConnections, static_cast<uint32_t>(database.servers.size()), database.slots);
    for (const BackendServer& server : database.servers) {
        const auto heldEpoch = snapshot->homeEpochs.find(server.id);
        if (heldEpoch != snapshot->homeEpochs.end() && !this->slotPools.contains(server.id)) {
            const uint32_t connections = split ? split.value().pooled : 1;
            this->slotPools[server.id] = std::make_unique<BackendSlotPool>(BackendSlotPoolSettings {
                { server.address, server.port, this->settings.processName, connections }, FairQueueSettings { database.slots } });
        }
        const auto poolEntry = this->slotPools.find(server.id);
        if (poolEntry == this->slotPools.end())
            continue;
        BackendSlotPool* pool = poolEntry->second.get();
        pool->setSlots(database.slots);
        pool->setClaim(heldEpoch == snapshot->homeEpochs.end() ? std::nullopt : std::optional(heldEpoch->second));

        // Without the interrupt, a statement on a server that was replaced or became unreachable would only end at its deadline.
        const ServerView* previousState = this->handledView ? this->handledView->find(server.id) : nullptr;
        const ServerView* currentState = group ? group->find(server.id) : nullptr;
        const bool becameUnreachable = previousState && currentState && previousState->isReachable && !currentState->isReachable;
        const bool wasReplaced
            = group && this->handledView && this->handledView->primary == server.id && group->term > this->handledView->term;
        if (becameUnreachable || wasReplaced)
            pool->interruptRunning();
    }
    this->handledView = group;
}

std::map<BackendServerId, BackendLoad> DatabaseHome::backendLoads() const
{
    std::map<BackendServerId, BackendLoad> loadByServer;
    for (const auto& [server, pool] : this->slotPools) {
        if (pool->claim())
            loadByServer[server] = pool->load();
    }
    return loadByServer;
}

HomeResponse DatabaseHome::execute(const TransactionRequest& request, const std::optional<TargetedRead>& targeted)
{
    HomeResponse response;
    response.mayHaveBeenSent = true;
    if (targeted)
        response.outcome = this->readFromServer(request, targeted->server, targeted->target);
    else
        response.outcome = request.kind == TransactionKind::Write ? this->write(request) : this->read(request);
    response.primaryRegion = this->primaryRegion();
    return response;
}

Result<DatabaseHome::PrimaryServer> DatabaseHome::awaitPrimary(TimePoint deadline)
{
    while (now() < deadline) {
        const auto group = this->groupView();
        if (!group)
            return fail(ErrorKind::NotHome, "this VM has no view of the database's group");
        const ServerView* primary = group->primary ? group->find(*group->primary) : nullptr;
        if (primary && primary->isReachable) {
            BackendSlotPool* pool = this->heldSlotPool(primary->server);
            if (pool)
                return PrimaryServer { primary->server, group->term, pool };
            return fail(ErrorKind::NotHome, "this VM does not hold the home of the primary");
        }
        sleepFor(viewPollInterval);
    }
    return fail(ErrorKind::NoPrimary, "no primary was reachable before the deadline");
}

ExecutionEffect DatabaseHome::runExecution(
    Execution& execution, BackendSlotPool& pool, const BackendServerId& server, Term term, const OrganisationId& organisation)
{
    return ExecutionDriver(execution, pool, server, term, organisation, this->durabilityWait).run();
}

TransactionOutcome DatabaseHome::write(const TransactionRequest& request)
{
    BOOST_OUTCOME_TRY(const PrimaryServer primary, this->awaitPrimary(request.deadline));
    WriteExecution execution(request, this->settings.execution);
    return std::get<Answer>(this->runExecution(execution, *primary.slotPool, primary.server, primary.term, request.organisation)).outcome;
}

ResolutionResult DatabaseHome::resolve(const ResolveRequest& request)
{
    const Result<PrimaryServer> primary = this->awaitPrimary(request.deadline);
    if (!primary)
        return { HasRun::Unknown, std::nullopt, primary.error().detail };
    Resolution resolution(request.organisation, request.requestId, request.digest, request.deadline);
    return std::get<ResolutionResult>(
        this->runExecution(resolution, *primary.value().slotPool, primary.value().server, primary.value().term, request.organisation));
}

TransactionOutcome DatabaseHome::read(const TransactionRequest& request)
{
    const ReadRequirements requirements { request.token, request.maxStaleness, now(), request.deadline, this->settings.region };
    const uint64_t routingSalt = stableHash(std::to_string(++this->readCount));
    Error lastError { ErrorKind::NoPrimary, "no server of the group is reachable" };
    // Each iteration plans the read from the newest view and tries the planned attempts in order, until the deadline.
    while (now() < request.deadline) {
        const auto group = this->groupView();
        if (!group)
            return fail(ErrorKind::NotHome, "this VM has no view of the database's group");
        const Result<ReadPlan> plan = this->router.route(requirements, *group, now(), routingSalt);
        if (!plan)
            return plan.error();
        for (const ReadAttempt& attempt : plan.value().attempts) {
            TransactionOutcome outcome = this->attemptRead(request, attempt, now());
            if (outcome || !canTryNextServer(outcome.error().kind))
                return outcome;
            lastError = outcome.error();
        }
        if (lastError.kind == ErrorKind::OutcomeUnknown)
            lastError = { plan.value().exhaustedError, lastError.detail };
        sleepFor(viewPollInterval);
    }
    return lastError;
}

TransactionOutcome DatabaseHome::attemptRead(const TransactionRequest& request, const ReadAttempt& attempt, TimePoint attemptStart)
{
    if (attempt.kind == ReadAttemptKind::WaitForPrimary) {
        const Result<PrimaryServer> primary = this->awaitPrimary(attempt.attemptDeadline);
        return fail(ErrorKind::NoPrimary, primary ? "the primary has changed" : primary.error().detail);
    }
    if (attempt.kind == ReadAttemptKind::WaitForReplica) {
        const ReadRequirements requirements { request.token, request.maxStaleness, attemptStart, request.deadline, this->settings.region };
        while (now() < attempt.attemptDeadline) {
            sleepFor(viewPollInterval);
            const auto group = this->groupView();
            const Result<ReadPlan> plan = group ? this->router.route(requirements, *group, now(), 0) : fail(ErrorKind::NotHome);
            if (plan && !plan.value().attempts.empty() && plan.value().attempts.front().kind == ReadAttemptKind::Replica)
                return this->attemptRead(request, plan.value().attempts.front(), now());
        }
        return fail(ErrorKind::ReadNotCurrent, "no replica reached the required position in time");
    }
    const auto group = this->groupView();
    const ServerView* server = group ? group->find(attempt.server) : nullptr;
    if (server && !this->heldSlotPool(attempt.server) && server->region != this->settings.region) {
        const HomeResponse response = this->homeClient.executeTargetedRead(request, { attempt.server, targetOf(attempt) }, server->region);
        return response.outcome ? *response.outcome
                                : TransactionOutcome(fail(ErrorKind::PeerUnavailable, "the home in the server's region did not reply"));
    }
    return this->readFromServer(request, attempt.server, targetOf(attempt));
}

TransactionOutcome DatabaseHome::readFromServer(const TransactionRequest& request, const BackendServerId& server, const ReadTarget& target)
{
    const auto group = this->groupView();
    BackendSlotPool* pool = this->heldSlotPool(server);
    if (!group || !pool)
        return fail(ErrorKind::NotHome, "this VM does not hold the home of backend server " + server.value);
    ReadExecution execution(request, target, this->settings.execution);
    return std::get<Answer>(this->runExecution(execution, *pool, server, group->term, request.organisation)).outcome;
}

}
