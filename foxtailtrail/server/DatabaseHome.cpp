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
        if (attempt.required != LogPoint {})
            target.requirement = attempt.required;
        target.confirmTerm = attempt.kind == ReadAttemptKind::ConfirmedPrimary;
        return target;
    }

}

DatabaseHome::DatabaseHome(DatabaseHomeSettings settings, const SnapshotBoard& board, HomeCaller& caller, DurabilityWait durabilityWait)
    : settings(std::move(settings))
    , board(board)
    , caller(caller)
    , durabilityWait(std::move(durabilityWait))
    , router(this->settings.router)
{
}

std::shared_ptr<const GroupView> DatabaseHome::view() const
{
    const auto snapshot = this->board.current();
    const auto found = snapshot->groups.find(this->settings.database);
    return found == snapshot->groups.end() ? nullptr : found->second;
}

Region DatabaseHome::primaryRegion() const
{
    const auto group = this->view();
    const ServerView* primary = group && group->primary ? group->find(*group->primary) : nullptr;
    return primary ? primary->region : Region();
}

BackendLane* DatabaseHome::heldLane(const BackendServerId& server)
{
    const auto found = this->lanes.find(server);
    return found != this->lanes.end() && found->second->claim() ? found->second.get() : nullptr;
}

void DatabaseHome::update()
{
    const auto snapshot = this->board.current();
    const auto group = this->view();
    if (!snapshot->configuration)
        return;
    const auto found = snapshot->configuration->databases.find(this->settings.database);
    if (found == snapshot->configuration->databases.end()) {
        for (auto& [server, lane] : this->lanes)
            lane->setClaim(std::nullopt);
        return;
    }
    const Database& database = found->second;
    const auto split = splitConnections(database.connections, static_cast<uint32_t>(database.servers.size()), database.slots);
    for (const BackendServer& server : database.servers) {
        const auto held = snapshot->homeEpochs.find(server.id);
        if (held != snapshot->homeEpochs.end() && !this->lanes.contains(server.id)) {
            const uint32_t connections = split ? split.value().pooled : 1;
            this->lanes[server.id] = std::make_unique<BackendLane>(BackendLaneSettings {
                { server.address, server.port, this->settings.processName, connections }, FairQueueSettings { database.slots } });
        }
        const auto known = this->lanes.find(server.id);
        if (known == this->lanes.end())
            continue;
        BackendLane* lane = known->second.get();
        lane->setSlots(database.slots);
        lane->setClaim(held == snapshot->homeEpochs.end() ? std::nullopt : std::optional(held->second));

        // A statement on a server that was replaced or went silent would only end at its deadline.
        const ServerView* before = this->handledView ? this->handledView->find(server.id) : nullptr;
        const ServerView* after = group ? group->find(server.id) : nullptr;
        const bool lostReach = before && after && before->reachable && !after->reachable;
        const bool replaced
            = group && this->handledView && this->handledView->primary == server.id && group->term > this->handledView->term;
        if (lostReach || replaced)
            lane->interruptRunning();
    }
    this->handledView = group;
}

std::map<BackendServerId, LaneLoad> DatabaseHome::loads() const
{
    std::map<BackendServerId, LaneLoad> loads;
    for (const auto& [server, lane] : this->lanes) {
        if (lane->claim())
            loads[server] = lane->load();
    }
    return loads;
}

HomeAnswer DatabaseHome::execute(const TransactionRequest& request, const std::optional<TargetedRead>& targeted)
{
    HomeAnswer answer;
    answer.sent = true;
    if (targeted)
        answer.outcome = this->readAt(request, targeted->server, targeted->target);
    else
        answer.outcome = request.kind == TransactionKind::Write ? this->write(request) : this->read(request);
    answer.primaryRegion = this->primaryRegion();
    return answer;
}

Result<DatabaseHome::PrimaryLane> DatabaseHome::awaitPrimary(TimePoint deadline)
{
    while (now() < deadline) {
        const auto group = this->view();
        if (!group)
            return fail(ErrorKind::NotHome, "this VM does not watch the database");
        const ServerView* primary = group->primary ? group->find(*group->primary) : nullptr;
        if (primary && primary->reachable) {
            BackendLane* lane = this->heldLane(primary->server);
            if (lane)
                return PrimaryLane { primary->server, group->term, lane };
            return fail(ErrorKind::NotHome, "this VM does not hold the home of the primary");
        }
        sleepFor(viewPollInterval);
    }
    return fail(ErrorKind::NoPrimary, "no primary was found before the deadline");
}

ExecutionEffect DatabaseHome::drive(
    Execution& execution, BackendLane& lane, const BackendServerId& server, Term term, const OrganisationId& organisation)
{
    return ExecutionDriver(execution, lane, server, term, organisation, this->durabilityWait).run();
}

TransactionOutcome DatabaseHome::write(const TransactionRequest& request)
{
    BOOST_OUTCOME_TRY(const PrimaryLane primary, this->awaitPrimary(request.deadline));
    WriteExecution execution(request, this->settings.execution);
    return std::get<Answer>(this->drive(execution, *primary.lane, primary.server, primary.term, request.organisation)).outcome;
}

Resolved DatabaseHome::resolve(const ResolveRequest& request)
{
    const Result<PrimaryLane> primary = this->awaitPrimary(request.deadline);
    if (!primary)
        return { Ran::Unknown, std::nullopt, primary.error().detail };
    Resolution resolution(request.organisation, request.requestId, request.digest, request.deadline);
    return std::get<Resolved>(
        this->drive(resolution, *primary.value().lane, primary.value().server, primary.value().term, request.organisation));
}

TransactionOutcome DatabaseHome::read(const TransactionRequest& request)
{
    const ReadNeed need { request.token, request.maxStaleness, now(), request.deadline, this->settings.region };
    const uint64_t salt = stableHash(std::to_string(++this->readCount));
    Error last { ErrorKind::NoPrimary, "no server of the group can be reached" };
    // Each round follows a plan that was made from the newest view, until the deadline.
    while (now() < request.deadline) {
        const auto group = this->view();
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
            last = { plan.value().exhausted, last.detail };
        sleepFor(viewPollInterval);
    }
    return last;
}

TransactionOutcome DatabaseHome::attemptRead(const TransactionRequest& request, const ReadAttempt& attempt, TimePoint attemptStart)
{
    if (attempt.kind == ReadAttemptKind::WaitForPrimary) {
        const Result<PrimaryLane> primary = this->awaitPrimary(attempt.notAfter);
        return fail(ErrorKind::NoPrimary, primary ? "the primary has changed" : primary.error().detail);
    }
    if (attempt.kind == ReadAttemptKind::WaitForReplica) {
        const ReadNeed need { request.token, request.maxStaleness, attemptStart, request.deadline, this->settings.region };
        while (now() < attempt.notAfter) {
            sleepFor(viewPollInterval);
            const auto group = this->view();
            const Result<ReadPlan> plan = group ? this->router.route(need, *group, now(), 0) : fail(ErrorKind::NotHome);
            if (plan && !plan.value().attempts.empty() && plan.value().attempts.front().kind == ReadAttemptKind::Replica)
                return this->attemptRead(request, plan.value().attempts.front(), now());
        }
        return fail(ErrorKind::ReadNotCurrent, "no replica caught up in time");
    }
    const auto group = this->view();
    const ServerView* server = group ? group->find(attempt.server) : nullptr;
    if (server && !this->heldLane(attempt.server) && server->region != this->settings.region) {
        const HomeAnswer answer = this->caller.executeAt(request, { attempt.server, targetOf(attempt) }, server->region);
        return answer.outcome ? *answer.outcome
                              : TransactionOutcome(fail(ErrorKind::PeerUnavailable, "the home of the server's region did not answer"));
    }
    return this->readAt(request, attempt.server, targetOf(attempt));
}

TransactionOutcome DatabaseHome::readAt(const TransactionRequest& request, const BackendServerId& server, const ReadTarget& target)
{
    const auto group = this->view();
    BackendLane* lane = this->heldLane(server);
    if (!group || !lane)
        return fail(ErrorKind::NotHome, "this VM does not hold the home of backend server " + server.value);
    ReadExecution execution(request, target, this->settings.execution);
    return std::get<Answer>(this->drive(execution, *lane, server, group->term, request.organisation)).outcome;
}

}
