#include "foxtailtrail/proxy/GroupExamination.h"

#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/proxy/FleetRows.h"
#include "foxtailtrail/proxy/ServerCommands.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace foxtail {

namespace {

    // A reply across regions takes about 30 ms with a new connection, and longer while the slots of the server are taken.
    constexpr Duration probeTimeout = std::chrono::milliseconds(300);
    // Time between the two probes that show whether the logs of the replicas still grow, that is, whether the primary still replicates.
    constexpr Duration confirmationDelay = std::chrono::milliseconds(200);
    constexpr Duration storeTimeout = std::chrono::milliseconds(600);
    constexpr Duration promotionOrderTimeout = std::chrono::milliseconds(600);
    constexpr Duration statusPollInterval = std::chrono::milliseconds(40);
    constexpr Duration newPrimaryTimeout = std::chrono::milliseconds(1500);
    constexpr Duration retryDelay = std::chrono::milliseconds(100);
    // A replica that is not running may return with its log within this time.
    constexpr Duration lostReplicaTimeout = std::chrono::milliseconds(500);

    // One examination of a group and the failover that may follow.
    class GroupExamination {
    public:
        GroupExamination(PromotionCoordinator& promotionCoordinator, ServiceName service)
            : coordinator(promotionCoordinator)
            , proxy(promotionCoordinator.sessionProxy())
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
            const bool hasStalledCommits
                = this->proxy.group(this->service)->areCommitsStalled(bootNow()) && this->isPrimaryAheadOfReplicas(statuses);
            const auto primary = before ? std::optional(before->server) : std::nullopt;
            FailoverCause cause = evaluateFailoverCause(statuses, primary, before && before->isSettled, hasStalledCommits);
            if (cause == FailoverCause::PrimaryLost || cause == FailoverCause::CommitsStalled)
                cause = this->confirmCause(statuses, cause);
            this->confirmPrimary(primary, statuses);
            this->proxy.group(this->service)->applyStatusRound(statuses);
            if (cause == FailoverCause::None) {
                this->completeEndedPromotion(statuses);
                return;
            }
            logEvent(LogLevel::Info, "replacing the primary",
                { { "service", this->service.value }, { "cause", failoverCauseName(cause) }, { "reason", reason },
                    { "primary", primary ? primary->value : "" } });
            this->replacePrimary(cause, primary, statuses);
        }

    private:
        std::vector<ServerEntry> members() const
        {
            std::vector<ServerEntry> entries;
            for (const ServerEntry* entry : this->proxy.directory().members(this->service))
                entries.push_back(*entry);
            return entries;
        }

        std::vector<ProbedStatus> sendCommand(const std::vector<ServerEntry>& servers, BackendCommand command, Term term)
        {
            std::vector<ProbedStatus> statuses = this->commands.sendToAll(servers, command, term, probeTimeout);
            for (ProbedStatus& status : statuses)
                status.isRemoved = this->proxy.directory().isRemoved(status.server);
            return statuses;
        }

        std::vector<ProbedStatus> probe() { return this->sendCommand(this->members(), BackendCommand::Status, Term {}); }

        // Adopts a primary that this VM did not know. Returns true when the directory changed.
        bool adoptDiscoveredPrimary(const std::vector<ProbedStatus>& statuses)
        {
            std::optional<KnownPrimary> previousPrimary;
            const std::optional<PrimaryView> known = this->proxy.directory().findPrimary(this->service);
            if (known)
                previousPrimary
                    = KnownPrimary { known->server, known->isSettled, known->term, this->proxy.group(this->service)->primaryTerm() };
            const ProbedStatus* found = discoverPrimary(statuses, previousPrimary);
            if (!found)
                return false;
            Term term = found->term;
            if (known && known->server != found->server && term <= known->term)
                term.value = known->term.value + 1;
            if (known)
                term = std::max(term, known->term);
            const PrimaryRecord record { this->service, term, found->server, true };
            logEvent(LogLevel::Info, "primary discovered from its status",
                { { "service", this->service.value }, { "server", record.server.value }, { "term", found->term.value } });
            bool hasChanged = false;
            this->proxy.updateServerDirectory([&](ServerDirectory& directory) { hasChanged = directory.recordPrimary(record); });
            return hasChanged;
        }

        // Returns true when the primary holds commits that no replica has received.
        bool isPrimaryAheadOfReplicas(const std::vector<ProbedStatus>& statuses) const
        {
            const std::optional<PrimaryView> primary = this->proxy.directory().findPrimary(this->service);
            std::optional<LogPoint> primaryLog;
            std::optional<LogPoint> replicaLog;
            for (const ProbedStatus& status : statuses) {
                if (status.outcome != ProbeOutcome::Answered)
                    continue;
                std::optional<LogPoint>& log = primary && primary->server == status.server ? primaryLog : replicaLog;
                if (!log || *log < status.receivedLogPoint)
                    log = status.receivedLogPoint;
            }
            return primaryLog && replicaLog && *replicaLog < *primaryLog;
        }

        // Probes the servers again. A primary whose replicas still receive is running, and only the connection of this VM to it is broken.
        FailoverCause confirmCause(const std::vector<ProbedStatus>& firstStatuses, FailoverCause cause)
        {
            sleepFor(confirmationDelay);
            const std::vector<ProbedStatus> secondStatuses = this->probe();
            const std::optional<PrimaryView> primary = this->proxy.directory().findPrimary(this->service);
            if (this->adoptDiscoveredPrimary(secondStatuses))
                return FailoverCause::None;
            for (const ProbedStatus& status : secondStatuses) {
                if (primary && status.server == primary->server) {
                    if (cause == FailoverCause::PrimaryLost && status.outcome == ProbeOutcome::Answered && status.isPrimary)
                        return FailoverCause::None;
                    continue;
                }
                const auto earlier = std::find_if(
                    firstStatuses.begin(), firstStatuses.end(), [&](const ProbedStatus& each) { return each.server == status.server; });
                const bool haveBothAnswered = earlier != firstStatuses.end() && earlier->outcome == ProbeOutcome::Answered
                    && status.outcome == ProbeOutcome::Answered;
                if (haveBothAnswered && earlier->receivedLogPoint < status.receivedLogPoint)
                    return FailoverCause::None;
            }
            return cause;
        }

        // Confirms the primary of the directory when it reports that it is the primary and no server knows a newer term.
        void confirmPrimary(const std::optional<BackendServerId>& primary, const std::vector<ProbedStatus>& statuses)
        {
            const ProbedStatus* newest = newestPrimary(statuses);
            if (!newest || !primary || newest->server != *primary)
                return;
            const bool isNewest = std::all_of(statuses.begin(), statuses.end(),
                [&](const ProbedStatus& status) { return status.outcome != ProbeOutcome::Answered || status.term <= newest->term; });
            if (isNewest)
                this->proxy.group(this->service)->confirmPrimary(*newest);
        }

        // Completes the commands of an ended promotion that did not reach their servers: resumes replicas that are still paused and
        // demotes former primaries that still lead. Only the holder of the promotion lock can be sure that no running promotion relies
        // on the pause, or counts the former primary as lost.
        void completeEndedPromotion(const std::vector<ProbedStatus>& statuses)
        {
            const bool hasPausedReplicas = std::any_of(statuses.begin(), statuses.end(), [](const ProbedStatus& status) {
                return status.outcome == ProbeOutcome::Answered && !status.isPrimary && status.pausedForTerm != Term {};
            });
            const std::vector<BackendServerId> formerPrimaries = supersededPrimaries(statuses);
            if (!hasPausedReplicas && formerPrimaries.empty())
                return;
            const std::optional<HeldPromotionLock> lock = this->coordinator.acquireLock();
            if (!lock)
                return;
            logEvent(LogLevel::Info, "completing the commands of an ended promotion",
                { { "service", this->service.value }, { "fence", lock->record.fencingToken }, { "pausedReplicas", hasPausedReplicas },
                    { "formerPrimaries", formerPrimaries.size() } });
            if (hasPausedReplicas)
                this->resumeReplicas(*lock);
            for (const BackendServerId& id : formerPrimaries) {
                if (const ServerEntry* former = this->proxy.directory().find(id))
                    this->logStatuses("demote", this->sendCommand({ *former }, BackendCommand::Demote, newestPrimary(statuses)->term));
            }
            this->coordinator.releaseLock(*lock, this->isResumeUnanswered);
        }

        // Resumes all servers except the primary.
        void resumeReplicas(const HeldPromotionLock& lock)
        {
            const std::optional<PrimaryView> primary = this->proxy.directory().findPrimary(this->service);
            std::vector<ServerEntry> replicas = this->members();
            std::erase_if(replicas, [&](const ServerEntry& entry) { return primary && entry.id == primary->server; });
            this->resume(replicas, lock);
        }

        // Resumes servers while the lock allows it. The next holder of the lock resumes servers that stay paused.
        void resume(const std::vector<ServerEntry>& replicas, const HeldPromotionLock& lock)
        {
            if (!lock.mayResumeAt(bootNow())) {
                logEvent(LogLevel::Warning, "replicas stay paused: the promotion lock is about to expire or has expired",
                    { { "service", this->service.value }, { "fence", lock.record.fencingToken } });
                return;
            }
            const std::vector<ProbedStatus> statuses = this->commands.sendToAll(replicas, BackendCommand::Resume, Term {}, probeTimeout);
            this->logStatuses("resume", statuses);
            this->isResumeUnanswered = std::any_of(
                statuses.begin(), statuses.end(), [](const ProbedStatus& status) { return status.outcome == ProbeOutcome::Silent; });
        }

        // Logs the outcome of a command for each server.
        void logStatuses(std::string_view command, const std::vector<ProbedStatus>& statuses) const
        {
            for (const ProbedStatus& status : statuses) {
                logEvent(LogLevel::Info, "command to a server finished",
                    { { "order", command }, { "server", status.server.value }, { "outcome", probeOutcomeName(status.outcome) },
                        { "primary", status.isPrimary }, { "term", status.term.value },
                        { "received", status.receivedLogPoint.position.value }, { "pausedFor", status.pausedForTerm.value } });
            }
        }

        // Returns true when a server certainly serves neither VMs nor replicas: it is not among the probed servers, its machine refuses
        // connections, or it does not respond to this VM and is removed from the shared list. A server that does not respond to this VM but
        // is still listed may serve VMs and replicas on its side of a partition.
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

        void replacePrimary(
            FailoverCause cause, const std::optional<BackendServerId>& oldPrimary, const std::vector<ProbedStatus>& statuses)
        {
            const std::optional<HeldPromotionLock> lock = this->coordinator.acquireLock();
            if (!lock)
                return;
            // The directory of a VM that was cut off may be older than the last promotion.
            const std::optional<PrimaryView> before = this->proxy.directory().findPrimary(this->service);
            const Result<void> refreshed = this->coordinator.refreshDirectory();
            const std::optional<PrimaryView> after = this->proxy.directory().findPrimary(this->service);
            if (!refreshed || (after != before && after && after->isSettled)) {
                logEvent(LogLevel::Info, "promotion cancelled: the primary has changed or the directory could not be read",
                    { { "service", this->service.value }, { "primary", after ? after->server.value : "" } });
                this->coordinator.releaseLock(*lock, this->isResumeUnanswered);
                return;
            }
            Term term = this->proxy.group(this->service)->primaryTerm();
            for (const ProbedStatus& status : statuses)
                term = std::max({ term, status.term, status.pausedForTerm });
            if (const PrimaryRecord* record = this->proxy.directory().findPrimaryRecord(this->service))
                term = std::max(term, record->term);
            ++term.value;

            if (cause == FailoverCause::Unfinished && this->abandonPromotion(term, *lock))
                return;

            // Fences the old primary: it acknowledges no commit while its replicas do not receive.
            std::vector<ServerEntry> replicas = this->members();
            std::erase_if(replicas, [&](const ServerEntry& entry) { return oldPrimary && entry.id == *oldPrimary; });
            std::vector<BackendServerId> failed;
            while (this->coordinator.isUsable(*lock)) {
                const std::optional<ProbedStatus> successor
                    = this->fenceAndChooseSuccessor(replicas, oldPrimary, statuses, term, failed, *lock);
                if (!successor)
                    break;
                const std::optional<ProbedStatus> confirmed = this->demoteOldPrimaryAndConfirm(*successor, replicas, oldPrimary, term);
                if (!confirmed)
                    continue;
                if (this->promote(*confirmed, oldPrimary, term, *lock))
                    return;
                failed.push_back(confirmed->server);
            }
            this->resume(replicas, *lock);
            this->coordinator.releaseLock(*lock, this->isResumeUnanswered);
            logEvent(LogLevel::Warning, "promotion failed", { { "service", this->service.value }, { "fence", lock->record.fencingToken } });
        }

        // Abandons a promotion that was recorded but never took effect, so that the previous primary still leads. Returns false when no
        // primary leads, or when the one that leads is draining or removed.
        bool abandonPromotion(Term term, const HeldPromotionLock& lock)
        {
            const std::vector<ProbedStatus> statuses = this->probe();
            const ProbedStatus* currentPrimary = newestPrimary(statuses);
            if (!currentPrimary || currentPrimary->isDraining || currentPrimary->isRemoved)
                return false;
            logEvent(LogLevel::Info, "promotion abandoned: the previous primary still leads",
                { { "service", this->service.value }, { "server", currentPrimary->server.value }, { "fence", lock.record.fencingToken } });
            return this->completePromotion(PrimaryRecord { this->service, term, currentPrimary->server, false }, false, std::nullopt, lock);
        }

        // Pauses the replicas and chooses the successor. Blocks until there is a successor or the promotion lock expires.
        std::optional<ProbedStatus> fenceAndChooseSuccessor(const std::vector<ServerEntry>& replicas,
            const std::optional<BackendServerId>& oldPrimary, const std::vector<ProbedStatus>& statuses, Term& term,
            const std::vector<BackendServerId>& failed, const HeldPromotionLock& lock)
        {
            const TimePoint startedAt = bootNow();
            while (this->coordinator.isUsable(lock)) {
                std::vector<ProbedStatus> pausedStatuses = this->sendCommand(replicas, BackendCommand::Pause, term);
                this->pausedAt = bootNow();
                this->logStatuses("pause", pausedStatuses);
                if (!verifyPause(pausedStatuses, term)) {
                    this->demoteOtherPrimaries(replicas, pausedStatuses, term);
                    sleepFor(statusPollInterval);
                    continue;
                }
                this->unansweredReplicas.clear();
                for (const ProbedStatus& status : pausedStatuses) {
                    if (status.outcome != ProbeOutcome::Answered)
                        this->unansweredReplicas.insert(status.server);
                }
                std::erase_if(pausedStatuses,
                    [&](const ProbedStatus& status) { return std::find(failed.begin(), failed.end(), status.server) != failed.end(); });
                const bool areMissingReplicasLost = bootNow() >= startedAt + lostReplicaTimeout
                    && this->isConfirmedDown(oldPrimary, statuses)
                    && std::all_of(pausedStatuses.begin(), pausedStatuses.end(), [&](const ProbedStatus& status) {
                           return status.outcome == ProbeOutcome::Answered || this->isConfirmedDown(status.server, pausedStatuses);
                       });
                const SuccessorChoice choice
                    = chooseSuccessor(pausedStatuses, this->proxy.group(this->service)->highestAcknowledgedPoint(), areMissingReplicasLost);
                if (choice.successor) {
                    for (const ProbedStatus& status : pausedStatuses) {
                        if (status.server == *choice.successor)
                            return status;
                    }
                }
                sleepFor(retryDelay);
            }
            logEvent(LogLevel::Warning, "no replica can be promoted safely",
                { { "service", this->service.value }, { "primary", oldPrimary ? oldPrimary->value : "" } });
            return std::nullopt;
        }

        // Demotes the old primary so that it acknowledges no more commits, and pauses the replicas again, with servers that have joined
        // since. Until then the old primary may have acknowledged commits that only a new server received, or a replica whose restart
        // ended its pause. Returns the server to promote.
        std::optional<ProbedStatus> demoteOldPrimaryAndConfirm(
            const ProbedStatus& chosen, std::vector<ServerEntry>& replicas, const std::optional<BackendServerId>& oldPrimary, Term term)
        {
            std::optional<ProbedStatus> demotedStatus;
            const ServerEntry* old = oldPrimary ? this->proxy.directory().find(*oldPrimary) : nullptr;
            if (old) {
                demotedStatus = this->sendCommand({ *old }, BackendCommand::Demote, term).front();
                this->logStatuses("demote", { *demotedStatus });
            }
            const Result<void> refreshed = this->coordinator.refreshDirectory();
            if (!refreshed) {
                logEvent(LogLevel::Warning, "reading the server list before a promotion failed; retrying",
                    { { "service", this->service.value }, { "detail", refreshed.error().detail } });
                return std::nullopt;
            }
            std::vector<ServerEntry> others = this->members();
            // Replicas that did not answer the first pause were counted as lost.
            std::erase_if(others, [&](const ServerEntry& entry) {
                return (oldPrimary && entry.id == *oldPrimary) || this->unansweredReplicas.count(entry.id) > 0;
            });
            const std::vector<ProbedStatus> pausedStatuses = this->sendCommand(others, BackendCommand::Pause, term);
            this->logStatuses("pause", pausedStatuses);
            for (const ServerEntry& entry : others) {
                const bool isKnown
                    = std::any_of(replicas.begin(), replicas.end(), [&](const ServerEntry& known) { return known.id == entry.id; });
                if (!isKnown)
                    replicas.push_back(entry);
            }
            return confirmSuccessor(chosen, pausedStatuses, demotedStatus);
        }

        // Demotes servers that are still primary in an older term, so that they can be paused.
        void demoteOtherPrimaries(const std::vector<ServerEntry>& replicas, const std::vector<ProbedStatus>& statuses, Term term)
        {
            for (const ProbedStatus& status : statuses) {
                const auto entry
                    = std::find_if(replicas.begin(), replicas.end(), [&](const ServerEntry& each) { return each.id == status.server; });
                if (status.isPrimary && entry != replicas.end())
                    this->commands.sendToAll({ *entry }, BackendCommand::Demote, term, probeTimeout);
            }
        }

        bool promote(
            const ProbedStatus& successor, const std::optional<BackendServerId>& oldPrimary, Term term, const HeldPromotionLock& lock)
        {
            // The decision is published before it takes effect, so that statements wait on every VM instead of failing.
            PrimaryRecord record { this->service, term, successor.server, false };
            StoreTransaction decisionTransaction;
            const std::string lockRowKey = promotionLockRowKey(lock.storedVersion.era);
            decisionTransaction.preconditions.push_back({ StoreTable::PromotionLocks, lockRowKey, lock.storedVersion });
            decisionTransaction.puts.push_back({ StoreTable::Fleet, primaryRowKey(this->service), encodePrimary(record) });
            const Result<StoreVersion> decisionResult = this->coordinator.sharedStore().commit(decisionTransaction, now() + storeTimeout);
            if (!decisionResult) {
                logEvent(LogLevel::Warning, "recording the promotion failed",
                    { { "service", this->service.value }, { "detail", decisionResult.error().detail } });
                return false;
            }
            this->proxy.updateServerDirectory([&](ServerDirectory& directory) { directory.recordPrimary(record); });

            sleepUntilBootTime(earliestPromotionOrder(this->pausedAt));

            PromotionOrderOutcome orderOutcome = PromotionOrderOutcome::Unknown;
            while (orderOutcome == PromotionOrderOutcome::Unknown && this->coordinator.isUsable(lock)) {
                orderOutcome = this->coordinator.promotionOrders().promote(
                    this->service, successor.server, this->proxy.settings().vmId, lock.record.fencingToken, now() + promotionOrderTimeout);
                if (orderOutcome == PromotionOrderOutcome::Unknown)
                    sleepFor(retryDelay);
            }
            if (orderOutcome != PromotionOrderOutcome::Accepted)
                return false;
            return this->completePromotion(record, true, oldPrimary, lock);
        }

        // Waits until the successor is primary, resumes the replicas, releases the promotion lock and demotes the old primary. Returns
        // false when the successor does not become primary in time.
        bool completePromotion(
            PrimaryRecord record, bool wasPromoted, const std::optional<BackendServerId>& oldPrimary, const HeldPromotionLock& lock)
        {
            const ServerEntry* entry = this->proxy.directory().find(record.server);
            const TimePoint deadline = bootNow() + newPrimaryTimeout;
            bool isLeading = false;
            while (entry && !isLeading && bootNow() < deadline) {
                const std::vector<ProbedStatus> statuses
                    = this->commands.sendToAll({ *entry }, BackendCommand::Status, Term {}, probeTimeout);
                isLeading = statuses.front().outcome == ProbeOutcome::Answered && statuses.front().isPrimary;
                if (isLeading)
                    record.term = std::max(record.term, statuses.front().term);
                else
                    sleepFor(statusPollInterval);
                entry = this->proxy.directory().find(record.server);
            }
            if (!isLeading)
                return false;
            record.isSettled = true;
            this->proxy.updateServerDirectory([&](ServerDirectory& directory) { directory.recordPrimary(record); });
            this->proxy.metrics().countPromotion();
            logEvent(LogLevel::Info, "primary replaced",
                { { "service", this->service.value }, { "server", record.server.value }, { "term", record.term.value },
                    { "fence", lock.record.fencingToken } });
            // The promotion has ended the pause of the promoted server only.
            this->resumeReplicas(lock);
            StoreTransaction completionTransaction;
            const std::string lockRowKey = promotionLockRowKey(lock.storedVersion.era);
            completionTransaction.preconditions.push_back({ StoreTable::PromotionLocks, lockRowKey, lock.storedVersion });
            // The successor's own entry settles the record for the other VMs, unless the promotion was abandoned and changed no server.
            if (!wasPromoted)
                completionTransaction.puts.push_back({ StoreTable::Fleet, primaryRowKey(this->service), encodePrimary(record) });
            const PromotionLockRecord releasedLock = lock.releasedAt(bootNow(), this->isResumeUnanswered);
            completionTransaction.puts.push_back({ StoreTable::PromotionLocks, lockRowKey, encodePromotionLock(releasedLock) });
            const Result<StoreVersion> stored = this->coordinator.sharedStore().commit(completionTransaction, now() + storeTimeout);
            if (!stored)
                logEvent(LogLevel::Warning, "new primary leads, but recording the end of the promotion failed",
                    { { "service", this->service.value }, { "detail", stored.error().detail } });
            if (oldPrimary) {
                if (const ServerEntry* old = this->proxy.directory().find(*oldPrimary))
                    this->logStatuses("demote", this->commands.sendToAll({ *old }, BackendCommand::Demote, record.term, probeTimeout));
            }
            return true;
        }

        static void sleepUntilBootTime(TimePoint wakeAt)
        {
            const TimePoint current = bootNow();
            if (current < wakeAt)
                sleepFor(wakeAt - current);
        }

        PromotionCoordinator& coordinator;
        SessionProxy& proxy;
        ServiceName service;
        ServerCommands commands;
        // When all replicas that replied had stopped receiving.
        TimePoint pausedAt {};
        // Whether the last resume command had no reply from one of the replicas.
        bool isResumeUnanswered = false;
        // The replicas that did not answer the last pause command.
        std::set<BackendServerId> unansweredReplicas;
    };

}

void runGroupExamination(PromotionCoordinator& promotionCoordinator, const ServiceName& service, std::string_view reason)
{
    GroupExamination(promotionCoordinator, service).run(reason);
}

}
