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

    // How often a request that waits for the group to change looks at the newest view.
    constexpr Duration viewPollInterval = std::chrono::milliseconds(2);

    // Whether a read may try another server after this error. All of these are "not run".
    bool mayTryNextServer(ErrorKind kind)
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

DatabaseHome::DatabaseHome(DatabaseHomeSettings settings, const SnapshotHolder& board, HomeClient& caller, DurabilityWait durabilityWait)
    : settings(std::move(settings))
    , snapshots(board)
    , homeClient(caller)
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
        for (auto& [server, lane] : this->slotPools)
            lane->setClaim(std::nullopt);
        return;
    }
    const Database& database = found->second;
    const auto split = splitConnections(database.maxConnections, static_cast<uint32_t>(database.servers.size()), database.slots);
    for (const BackendServer& server : database.servers) {
        const auto held = snapshot->homeEpochs.find(server.id);
        if (held != snapshot->homeEpochs.end() && !this->slotPools.contains(server.id)) {
            const uint32_t connections = split ? split.value().pooled : 1;
            this->slotPools[server.id] = std::make_unique<BackendSlotPool>(BackendSlotPoolSettings {
                { server.address, server.port, this->settings.processName, connections }, FairQueueSettings { database.slots } });
        }
        const auto known = this->slotPools.find(server.id);
        if (known == this->slotPools.end())
            continue;
        BackendSlotPool* lane = known->second.get();
        lane->setSlots(database.slots);
        lane->setClaim(held == snapshot->homeEpochs.end() ? std::nullopt : std::optional(held->second));

        // A statement on a server that was replaced or went silent would only end at its deadline.
        const ServerView* before = this->handledView ? this->handledView->find(server.id) : nullptr;
        const ServerView* after = group ? group->find(server.id) : nullptr;
        const bool lostReach = before && after && before->isReachable && !after->isReachable;
        const bool replaced
            = group && this->handledView && this->handledView->primary == server.id && group->term > this->handledView->term;
        if (lostReach || replaced)
            lane->interruptRunning();
    }
    this->handledView = group;
}

std::map<BackendServerId, BackendLoad> DatabaseHome::backendLoads() const
{
    std::map<BackendServerId, BackendLoad> loads;
    for (const auto& [server, lane] : this->slotPools) {
        if (lane->claim())
            loads[server] = lane->load();
    }
    return loads;
}

HomeResponse DatabaseHome::execute(const TransactionRequest& request, const std::optional<TargetedRead>& targeted)
{
    HomeResponse answer;
    answer.mayHaveBeenSent = true;
    if (targeted)
        answer.outcome = this->readFromServer(request, targeted->server, targeted->target);
    else
        answer.outcome = request.kind == TransactionKind::Write ? this->write(request) : this->read(request);
    answer.primaryRegion = this->primaryRegion();
    return answer;
}

Result<DatabaseHome::PrimaryServer> DatabaseHome::awaitPrimary(TimePoint deadline)
{
    while (now() < deadline) {
        const auto group = this->groupView();
        if (!group)
            return fail(ErrorKind::NotHome, "this VM does not watch the database");
        const ServerView* primary = group->primary ? group->find(*group->primary) : nullptr;
        if (primary && primary->isReachable) {
            BackendSlotPool* lane = this->heldSlotPool(primary->server);
            if (lane)
                return PrimaryServer { primary->server, group->term, lane };
            return fail(ErrorKind::NotHome, "this VM does not hold the home of the primary");
        }
        sleepFor(viewPollInterval);
    }
    return fail(ErrorKind::NoPrimary, "no primary was found before the deadline");
}

ExecutionEffect DatabaseHome::runExecution(
    Execution& execution, BackendSlotPool& lane, const BackendServerId& server, Term term, const OrganisationId& organisation)
{
    return ExecutionDriver(execution, lane, server, term, organisation, this->durabilityWait).run();
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
    const ReadRequirements need { request.token, request.maxStaleness, now(), request.deadline, this->settings.region };
    const uint64_t salt = stableHash(std::to_string(++this->readCount));
    Error last { ErrorKind::NoPrimary, "no server of the group can be reached" };
    // Each round follows a plan that was made from the newest view, until the deadline.
    while (now() < request.deadline) {
        const auto group = this->groupView();
        if (!group)
            return fail(ErrorKind::NotHome, "this VM does not watch the database");
        const Result<ReadPlan> plan = this->router.route(need, *group, now(), salt);
        if (!plan)
            return plan.error();
        for (const ReadAttempt& attempt : plan.value().attempts) {
            TransactionOutcome outcome = this->attemptRead(request, attempt, now());
            if (outcome || !mayTryNextServer(outcome.error().kind))
                return outcome;
            last = outcome.error();
        }
        if (last.kind == ErrorKind::OutcomeUnknown)
            last = { plan.value().exhaustedError, last.detail };
        sleepFor(viewPollInterval);
    }
    return last;
}

TransactionOutcome DatabaseHome::attemptRead(const TransactionRequest& request, const ReadAttempt& attempt, TimePoint attemptStart)
{
    if (attempt.kind == ReadAttemptKind::WaitForPrimary) {
        const Result<PrimaryServer> primary = this->awaitPrimary(attempt.attemptDeadline);
        return fail(ErrorKind::NoPrimary, primary ? "the primary has changed" : primary.error().detail);
    }
    if (attempt.kind == ReadAttemptKind::WaitForReplica) {
        const ReadRequirements need { request.token, request.maxStaleness, attemptStart, request.deadline, this->settings.region };
        while (now() < attempt.attemptDeadline) {
            sleepFor(viewPollInterval);
            const auto group = this->groupView();
            const Result<ReadPlan> plan = group ? this->router.route(need, *group, now(), 0) : fail(ErrorKind::NotHome);
            if (plan && !plan.value().attempts.empty() && plan.value().attempts.front().kind == ReadAttemptKind::Replica)
                return this->attemptRead(request, plan.value().attempts.front(), now());
        }
        return fail(ErrorKind::ReadNotCurrent, "no replica caught up in time");
    }
    const auto group = this->groupView();
    const ServerView* server = group ? group->find(attempt.server) : nullptr;
    if (server && !this->heldSlotPool(attempt.server) && server->region != this->settings.region) {
        const HomeResponse answer = this->homeClient.executeTargetedRead(request, { attempt.server, targetOf(attempt) }, server->region);
        return answer.outcome ? *answer.outcome
                              : TransactionOutcome(fail(ErrorKind::PeerUnavailable, "the home of the server's region did not answer"));
    }
    return this->readFromServer(request, attempt.server, targetOf(attempt));
}

TransactionOutcome DatabaseHome::readFromServer(const TransactionRequest& request, const BackendServerId& server, const ReadTarget& target)
{
    const auto group = this->groupView();
    BackendSlotPool* lane = this->heldSlotPool(server);
    if (!group || !lane)
        return fail(ErrorKind::NotHome, "this VM does not hold the home of backend server " + server.value);
    ReadExecution execution(request, target, this->settings.execution);
    return std::get<Answer>(this->runExecution(execution, *lane, server, group->term, request.organisation)).outcome;
}

}
