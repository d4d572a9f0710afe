#include "foxtailtrail/proxy/GroupExamination.h"

#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/proxy/FleetRows.h"
#include "foxtailtrail/proxy/ServerCommands.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>
#include <utility>

namespace foxtail {

namespace {

    // An answer across regions takes about 30 ms with a new connection, more while slots are taken.
    constexpr Duration probeTimeout = std::chrono::milliseconds(300);
    // Between two looks at the replicas' logs, to see whether the primary still feeds them.
    constexpr Duration secondLook = std::chrono::milliseconds(200);
    constexpr Duration storeTimeout = std::chrono::milliseconds(600);
    constexpr Duration orderTimeout = std::chrono::milliseconds(600);
    // The platform takes some 300 ms from the order until the new primary leads; the lease may run out in that time.
    constexpr Duration earliestLead = std::chrono::milliseconds(200);
    constexpr Duration leadPollInterval = std::chrono::milliseconds(40);
    constexpr Duration leadTimeout = std::chrono::milliseconds(1500);
    constexpr Duration choicePause = std::chrono::milliseconds(100);
    // A replica that does not run may come back with its log within this time.
    constexpr Duration lostReplicaTime = std::chrono::milliseconds(500);

    // One examination of a group and the promotion that may follow.
    class GroupExamination {
    public:
        GroupExamination(PromotionCoordinator& duty, ServiceName service)
            : coordinator(duty)
            , proxy(duty.sessionProxy())
            , service(std::move(service))
            , commands(proxy.ioContext(), proxy.backendCodec())
        {
        }

        void run(std::string_view reason)
        {
            const std::optional<PrimaryView> before = this->proxy.directory().findPrimary(this->service);
            const std::vector<ProbedStatus> statuses = this->probe();
            if (this->adoptDiscoveredPrimary(statuses))
                return;
            const bool stalled = this->proxy.group(this->service)->areCommitsStalled(bootNow()) && this->isPrimaryAheadOfReplicas(statuses);
            const auto leader = before ? std::optional(before->server) : std::nullopt;
            FailoverCause cause = evaluateFailoverCause(statuses, leader, before && before->isSettled, stalled);
            if (cause == FailoverCause::PrimaryLost || cause == FailoverCause::CommitsStalled)
                cause = this->confirmCause(statuses, cause);
            this->confirmPrimary(leader, statuses);
            this->proxy.group(this->service)->applyStatusRound(statuses);
            if (cause == FailoverCause::None) {
                this->resumePausedReplicas(statuses);
                return;
            }
            logEvent(LogLevel::Info, "primary to be replaced",
                { { "service", this->service.value }, { "cause", failoverCauseName(cause) }, { "reason", reason },
                    { "primary", leader ? leader->value : "" } });
            this->replacePrimary(cause, leader, statuses);
        }

    private:
        std::vector<ServerEntry> members() const
        {
            std::vector<ServerEntry> entries;
            for (const ServerEntry* entry : this->proxy.directory().members(this->service))
                entries.push_back(*entry);
            return entries;
        }

        std::vector<ProbedStatus> sendOrder(const std::vector<ServerEntry>& servers, BackendCommand order, Term term)
        {
            std::vector<ProbedStatus> statuses = this->commands.sendToAll(servers, order, term, probeTimeout);
            for (ProbedStatus& status : statuses)
                status.isRemoved = this->proxy.directory().isRemoved(status.server);
            return statuses;
        }

        std::vector<ProbedStatus> probe() { return this->sendOrder(this->members(), BackendCommand::Status, Term {}); }

        // Takes a primary that this VM did not know of. Returns true when there is one.
        bool adoptDiscoveredPrimary(const std::vector<ProbedStatus>& statuses)
        {
            std::optional<KnownPrimary> believed;
            const std::optional<PrimaryView> known = this->proxy.directory().findPrimary(this->service);
            if (known)
                believed = KnownPrimary { known->server, known->isSettled, known->term, this->proxy.group(this->service)->primaryTerm() };
            const ProbedStatus* found = discoverPrimary(statuses, believed);
            if (!found)
                return false;
            Term term = found->term;
            if (known && known->server != found->server && term <= known->term)
                term.value = known->term.value + 1;
            if (known)
                term = std::max(term, known->term);
            const PrimaryRecord record { this->service, term, found->server, true };
            logEvent(LogLevel::Info, "primary found by its status",
                { { "service", this->service.value }, { "server", record.server.value }, { "term", found->term.value } });
            bool changed = false;
            this->proxy.updateServerDirectory([&](ServerDirectory& directory) { changed = directory.recordPrimary(record); });
            return changed;
        }

        // Whether the primary holds commits that no replica has received.
        bool isPrimaryAheadOfReplicas(const std::vector<ProbedStatus>& statuses) const
        {
            const std::optional<PrimaryView> leader = this->proxy.directory().findPrimary(this->service);
            std::optional<LogPoint> primaryLog;
            std::optional<LogPoint> replicaLog;
            for (const ProbedStatus& status : statuses) {
                if (status.outcome != ProbeOutcome::Answered)
                    continue;
                std::optional<LogPoint>& log = leader && leader->server == status.server ? primaryLog : replicaLog;
                if (!log || *log < status.receivedLogPoint)
                    log = status.receivedLogPoint;
            }
            return primaryLog && replicaLog && *replicaLog < *primaryLog;
        }

        // Looks again: a primary whose replicas still receive is alive, and only the link of this VM is broken.
        FailoverCause confirmCause(const std::vector<ProbedStatus>& first, FailoverCause cause)
        {
            sleepFor(secondLook);
            const std::vector<ProbedStatus> second = this->probe();
            const std::optional<PrimaryView> leader = this->proxy.directory().findPrimary(this->service);
            if (this->adoptDiscoveredPrimary(second))
                return FailoverCause::None;
            for (const ProbedStatus& status : second) {
                if (leader && status.server == leader->server) {
                    if (cause == FailoverCause::PrimaryLost && status.outcome == ProbeOutcome::Answered && status.isPrimary)
                        return FailoverCause::None;
                    continue;
                }
                const auto earlier
                    = std::find_if(first.begin(), first.end(), [&](const ProbedStatus& each) { return each.server == status.server; });
                const bool bothAnswered
                    = earlier != first.end() && earlier->outcome == ProbeOutcome::Answered && status.outcome == ProbeOutcome::Answered;
                if (bothAnswered && earlier->receivedLogPoint < status.receivedLogPoint)
                    return FailoverCause::None;
            }
            return cause;
        }

        // Trusts the primary of the directory again when it leads and no server knows a newer term.
        void confirmPrimary(const std::optional<BackendServerId>& leader, const std::vector<ProbedStatus>& statuses)
        {
            const ProbedStatus* newest = newestPrimary(statuses);
            if (!newest || !leader || newest->server != *leader)
                return;
            const bool isNewest = std::all_of(statuses.begin(), statuses.end(),
                [&](const ProbedStatus& status) { return status.outcome != ProbeOutcome::Answered || status.term <= newest->term; });
            if (isNewest)
                this->proxy.group(this->service)->confirmPrimary(*newest);
        }

        // Lets replicas receive again that a promoter paused and left behind. Only the holder of a turn knows that no promotion is under
        // way that relies on the pause.
        void resumePausedReplicas(const std::vector<ProbedStatus>& statuses)
        {
            const bool anyPaused = std::any_of(statuses.begin(), statuses.end(), [](const ProbedStatus& status) {
                return status.outcome == ProbeOutcome::Answered && !status.isPrimary && status.pausedForTerm != Term {};
            });
            if (!anyPaused)
                return;
            const std::optional<HeldPromotionLock> turn = this->coordinator.acquireLock();
            if (!turn)
                return;
            logEvent(LogLevel::Info, "replicas resumed", { { "service", this->service.value }, { "fence", turn->record.fencingToken } });
            this->resumeReplicas();
            this->coordinator.releaseLock(*turn);
        }

        // Lets all servers but the primary receive.
        void resumeReplicas()
        {
            const std::optional<PrimaryView> leader = this->proxy.directory().findPrimary(this->service);
            std::vector<ServerEntry> replicas = this->members();
            std::erase_if(replicas, [&](const ServerEntry& entry) { return leader && entry.id == leader->server; });
            this->logStatuses("resume", this->commands.sendToAll(replicas, BackendCommand::Resume, Term {}, probeTimeout));
        }

        // Logs what the servers answered to an order.
        void logStatuses(std::string_view order, const std::vector<ProbedStatus>& statuses) const
        {
            for (const ProbedStatus& status : statuses) {
                logEvent(LogLevel::Info, "server answered",
                    { { "order", order }, { "server", status.server.value }, { "outcome", probeOutcomeName(status.outcome) },
                        { "primary", status.isPrimary }, { "term", status.term.value },
                        { "received", status.receivedLogPoint.position.value }, { "pausedFor", status.pausedForTerm.value } });
            }
        }

        // Whether a server certainly works for nobody: its machine refuses connections, or it is silent here and in the shared list. A
        // server that is silent here only may still serve VMs and replicas on its side of a partition.
        bool isConfirmedDown(const std::optional<BackendServerId>& server, const std::vector<ProbedStatus>& statuses) const
        {
            if (!server)
                return true;
            const auto found
                = std::find_if(statuses.begin(), statuses.end(), [&](const ProbedStatus& status) { return status.server == *server; });
            if (found == statuses.end() || found->outcome == ProbeOutcome::Refused)
                return true;
            return found->outcome == ProbeOutcome::Silent && this->proxy.directory().isRemoved(*server);
        }

        void replacePrimary(FailoverCause cause, const std::optional<BackendServerId>& oldLeader, const std::vector<ProbedStatus>& statuses)
        {
            const std::optional<HeldPromotionLock> turn = this->coordinator.acquireLock();
            if (!turn)
                return;
            // The view of a VM that was cut off may be older than the last promotion.
            const std::optional<PrimaryView> before = this->proxy.directory().findPrimary(this->service);
            const Result<void> refreshed = this->coordinator.refreshDirectory();
            const std::optional<PrimaryView> after = this->proxy.directory().findPrimary(this->service);
            if (!refreshed || (after != before && after && after->isSettled)) {
                logEvent(LogLevel::Info, "promotion not needed",
                    { { "service", this->service.value }, { "primary", after ? after->server.value : "" } });
                this->coordinator.releaseLock(*turn);
                return;
            }
            Term term = this->proxy.group(this->service)->primaryTerm();
            for (const ProbedStatus& status : statuses)
                term = std::max({ term, status.term, status.pausedForTerm });
            if (const PrimaryRecord* record = this->proxy.directory().findPrimaryRecord(this->service))
                term = std::max(term, record->term);
            ++term.value;

            if (cause == FailoverCause::Unfinished && this->abandonPromotion(term, *turn))
                return;

            // Fence: no commit is acknowledged by the old primary once its replicas do not receive.
            std::vector<ServerEntry> replicas = this->members();
            std::erase_if(replicas, [&](const ServerEntry& entry) { return oldLeader && entry.id == *oldLeader; });
            std::vector<BackendServerId> failed;
            while (turn->isUsableAt(bootNow())) {
                const std::optional<ProbedStatus> successor
                    = this->fenceAndChooseSuccessor(replicas, oldLeader, statuses, term, failed, *turn);
                if (!successor)
                    break;
                const std::optional<ProbedStatus> confirmed = this->demoteOldPrimaryAndConfirm(*successor, replicas, oldLeader, term);
                if (!confirmed)
                    continue;
                if (this->promote(*confirmed, oldLeader, statuses, term, *turn))
                    return;
                failed.push_back(confirmed->server);
            }
            this->commands.sendToAll(replicas, BackendCommand::Resume, Term {}, probeTimeout);
            this->coordinator.releaseLock(*turn);
            logEvent(
                LogLevel::Warning, "promotion given up", { { "service", this->service.value }, { "fence", turn->record.fencingToken } });
        }

        // Ends a promotion that was decided and never took effect: the primary of before still leads. Returns false when none leads.
        bool abandonPromotion(Term term, const HeldPromotionLock& turn)
        {
            const std::vector<ProbedStatus> statuses = this->probe();
            const ProbedStatus* standing = newestPrimary(statuses);
            if (!standing || standing->isDraining || standing->isRemoved)
                return false;
            logEvent(LogLevel::Info, "promotion abandoned, the primary leads",
                { { "service", this->service.value }, { "server", standing->server.value }, { "fence", turn.record.fencingToken } });
            return this->completePromotion(PrimaryRecord { this->service, term, standing->server, false }, false, std::nullopt, turn);
        }

        // Pauses the replicas and chooses one. Blocks until there is a choice or the turn is over.
        std::optional<ProbedStatus> fenceAndChooseSuccessor(const std::vector<ServerEntry>& replicas,
            const std::optional<BackendServerId>& oldLeader, const std::vector<ProbedStatus>& statuses, Term& term,
            const std::vector<BackendServerId>& failed, const HeldPromotionLock& turn)
        {
            const TimePoint begun = bootNow();
            while (turn.isUsableAt(bootNow())) {
                std::vector<ProbedStatus> paused = this->sendOrder(replicas, BackendCommand::Pause, term);
                this->pausedAt = bootNow();
                this->logStatuses("pause", paused);
                if (!verifyPause(paused, term)) {
                    this->demoteOtherPrimaries(replicas, paused, term);
                    sleepFor(leadPollInterval);
                    continue;
                }
                std::erase_if(paused,
                    [&](const ProbedStatus& status) { return std::find(failed.begin(), failed.end(), status.server) != failed.end(); });
                const bool missingAreLost = bootNow() >= begun + lostReplicaTime && this->isConfirmedDown(oldLeader, statuses)
                    && std::all_of(paused.begin(), paused.end(), [&](const ProbedStatus& status) {
                           return status.outcome == ProbeOutcome::Answered || this->isConfirmedDown(status.server, paused);
                       });
                const SuccessorChoice choice
                    = chooseSuccessor(paused, this->proxy.group(this->service)->highestAcknowledgedPoint(), missingAreLost);
                if (choice.successor) {
                    for (const ProbedStatus& status : paused) {
                        if (status.server == *choice.successor)
                            return status;
                    }
                }
                sleepFor(choicePause);
            }
            logEvent(LogLevel::Warning, "no successor may be promoted",
                { { "service", this->service.value }, { "primary", oldLeader ? oldLeader->value : "" } });
            return std::nullopt;
        }

        // Has the old primary stop, so that it acknowledges nothing more, and pauses servers that have joined since the others were paused:
        // until now it may have acknowledged commits that only they received. Returns the server to promote.
        std::optional<ProbedStatus> demoteOldPrimaryAndConfirm(
            const ProbedStatus& chosen, std::vector<ServerEntry>& replicas, const std::optional<BackendServerId>& oldLeader, Term term)
        {
            std::optional<ProbedStatus> stopped;
            const ServerEntry* old = oldLeader ? this->proxy.directory().find(*oldLeader) : nullptr;
            if (old) {
                stopped = this->sendOrder({ *old }, BackendCommand::Demote, term).front();
                this->logStatuses("demote", { *stopped });
            }
            const Result<void> refreshed = this->coordinator.refreshDirectory();
            if (!refreshed) {
                logEvent(LogLevel::Warning, "servers not read before a promotion",
                    { { "service", this->service.value }, { "detail", refreshed.error().detail } });
                return std::nullopt;
            }
            std::vector<ServerEntry> newcomers = this->members();
            std::erase_if(newcomers, [&](const ServerEntry& entry) {
                return (oldLeader && entry.id == *oldLeader)
                    || std::any_of(replicas.begin(), replicas.end(), [&](const ServerEntry& known) { return known.id == entry.id; });
            });
            const std::vector<ProbedStatus> paused = this->sendOrder(newcomers, BackendCommand::Pause, term);
            this->logStatuses("pause", paused);
            replicas.insert(replicas.end(), newcomers.begin(), newcomers.end());
            return confirmSuccessor(chosen, paused, stopped);
        }

        // Makes replicas of servers that still lead in an older term, so that they can be paused.
        void demoteOtherPrimaries(const std::vector<ServerEntry>& replicas, const std::vector<ProbedStatus>& statuses, Term term)
        {
            for (const ProbedStatus& status : statuses) {
                const auto entry
                    = std::find_if(replicas.begin(), replicas.end(), [&](const ServerEntry& each) { return each.id == status.server; });
                if (status.isPrimary && entry != replicas.end())
                    this->commands.sendToAll({ *entry }, BackendCommand::Demote, term, probeTimeout);
            }
        }

        bool promote(const ProbedStatus& successor, const std::optional<BackendServerId>& oldLeader,
            const std::vector<ProbedStatus>& statuses, Term term, const HeldPromotionLock& turn)
        {
            // Every VM learns of the decision before it takes effect, so that statements wait instead of failing.
            PrimaryRecord record { this->service, term, successor.server, false };
            StoreTransaction decision;
            decision.preconditions.push_back({ StoreTable::PromotionLocks, promotionLockRowKey, turn.storedVersion });
            decision.puts.push_back({ StoreTable::Fleet, primaryRowKey(this->service), encodePrimary(record) });
            const Result<uint64_t> decided = this->coordinator.sharedStore().commit(decision, now() + storeTimeout);
            if (!decided) {
                logEvent(LogLevel::Warning, "promotion not recorded",
                    { { "service", this->service.value }, { "detail", decided.error().detail } });
                return false;
            }
            this->proxy.updateServerDirectory([&](ServerDirectory& directory) { directory.recordPrimary(record); });

            // A process that does not run serves no reads; any other may serve them until the leases on it have run out.
            const bool oldProcessIsGone = std::any_of(statuses.begin(), statuses.end(), [&](const ProbedStatus& status) {
                return oldLeader && status.server == *oldLeader && status.outcome == ProbeOutcome::Refused;
            });
            if (!oldProcessIsGone)
                sleepUntilBootTime(this->pausedAt + primaryLeaseLifetime - earliestLead);

            PromotionOrderOutcome answer = PromotionOrderOutcome::Unknown;
            while (answer == PromotionOrderOutcome::Unknown && turn.isUsableAt(bootNow())) {
                answer = this->coordinator.promotionOrders().promote(
                    this->service, successor.server, this->proxy.settings().vmId, turn.record.fencingToken, now() + orderTimeout);
                if (answer == PromotionOrderOutcome::Unknown)
                    sleepFor(choicePause);
            }
            if (answer != PromotionOrderOutcome::Accepted)
                return false;
            return this->completePromotion(record, true, oldLeader, turn);
        }

        // Waits until the successor leads, deposes the old primary and tells all VMs.
        bool completePromotion(
            PrimaryRecord record, bool promoted, const std::optional<BackendServerId>& oldLeader, const HeldPromotionLock& turn)
        {
            const ServerEntry* entry = this->proxy.directory().find(record.server);
            const TimePoint deadline = bootNow() + leadTimeout;
            bool leads = false;
            while (entry && !leads && bootNow() < deadline) {
                const std::vector<ProbedStatus> statuses
                    = this->commands.sendToAll({ *entry }, BackendCommand::Status, Term {}, probeTimeout);
                leads = statuses.front().outcome == ProbeOutcome::Answered && statuses.front().isPrimary;
                if (leads)
                    record.term = std::max(record.term, statuses.front().term);
                else
                    sleepFor(leadPollInterval);
                entry = this->proxy.directory().find(record.server);
            }
            if (!leads)
                return false;
            record.isSettled = true;
            // The promotion ends the pause of its own server only.
            this->proxy.updateServerDirectory([&](ServerDirectory& directory) { directory.recordPrimary(record); });
            this->proxy.metrics().countPromotion();
            logEvent(LogLevel::Info, "primary replaced",
                { { "service", this->service.value }, { "server", record.server.value }, { "term", record.term.value },
                    { "fence", turn.record.fencingToken } });
            this->resumeReplicas();
            StoreTransaction change;
            change.preconditions.push_back({ StoreTable::PromotionLocks, promotionLockRowKey, turn.storedVersion });
            // The successor's own entry settles the record for the other VMs, unless the promotion changed nothing.
            if (!promoted)
                change.puts.push_back({ StoreTable::Fleet, primaryRowKey(this->service), encodePrimary(record) });
            // The fence number stays; the end of the turn lies in the past of the store's clock.
            const PromotionLockRecord ended
                = releasePromotionLock(turn.record, turn.record.endsAtMs - toMilliseconds(promotionLockLifetime));
            change.puts.push_back({ StoreTable::PromotionLocks, promotionLockRowKey, encodePromotionLock(ended) });
            const Result<uint64_t> stored = this->coordinator.sharedStore().commit(change, now() + storeTimeout);
            if (!stored)
                logEvent(LogLevel::Warning, "promotion settled but not recorded",
                    { { "service", this->service.value }, { "detail", stored.error().detail } });
            if (oldLeader) {
                if (const ServerEntry* old = this->proxy.directory().find(*oldLeader))
                    this->logStatuses("demote", this->commands.sendToAll({ *old }, BackendCommand::Demote, record.term, probeTimeout));
            }
            return true;
        }

        static void sleepUntilBootTime(TimePoint time)
        {
            const TimePoint current = bootNow();
            if (current < time)
                sleepFor(time - current);
        }

        PromotionCoordinator& coordinator;
        SessionProxy& proxy;
        ServiceName service;
        ServerCommands commands;
        // When all replicas that answered had stopped to receive.
        TimePoint pausedAt {};
    };

}

void runGroupExamination(PromotionCoordinator& duty, const ServiceName& service, std::string_view reason)
{
    GroupExamination(duty, service).run(reason);
}

}
