#include "foxtailtrail/proxy/GroupExamination.h"

#include "foxtailtrail/failover/PrimaryReplacement.h"
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
    // Reports of other VMs, also of those in other regions, arrive within this time. They are asked this long before they are needed.
    constexpr Duration reportDelay = std::chrono::milliseconds(50);
    constexpr Duration storeTimeout = std::chrono::milliseconds(600);
    constexpr Duration promotionOrderTimeout = std::chrono::milliseconds(600);

    std::string describeLogPoint(const std::optional<LogPoint>& point)
    {
        return point ? std::to_string(point->term.value) + "." + std::to_string(point->position.value) : "";
    }

    // Returns what decides whether a server takes part: its outcome, log, and whether it leads, is paused, drains, is removed or has left.
    std::string describeServers(const std::vector<ProbedStatus>& statuses)
    {
        std::string text;
        for (const ProbedStatus& status : statuses) {
            text += (text.empty() ? "" : ", ") + status.server.value + " " + std::string(probeOutcomeName(status.outcome));
            if (status.outcome == ProbeOutcome::Answered)
                text += " " + describeLogPoint(status.receivedLogPoint);
            text += status.isPrimary ? " leads" : status.pausedForTerm != Term {} ? " paused" : "";
            text += status.isDraining ? " draining" : "";
            text += status.isEvacuated ? " evacuated" : "";
            text += status.hasLeft ? " left" : status.isRemoved ? " removed" : "";
        }
        return text;
    }

    // Returns what decides whether a VM's report counts: its age, the age of the newest commit acknowledged to the VM, what it knows to be
    // acknowledged, and whether it holds commits back.
    std::string describeReports(const FleetEvidence& evidence, TimePoint time)
    {
        std::string text;
        for (const VmId& vm : evidence.expectedVms()) {
            text += (text.empty() ? "" : ", ") + vm.value;
            const auto found = evidence.reportsByVm().find(vm);
            if (found == evidence.reportsByVm().end()) {
                text += " silent";
                continue;
            }
            const GroupReport& report = found->second;
            text += " " + std::to_string(toMilliseconds(time - report.receivedAt)) + "ms";
            if (report.commitSentAt)
                text += " commit " + std::to_string(toMilliseconds(time - *report.commitSentAt)) + "ms";
            text += " " + describeLogPoint(report.acknowledged) + (report.holdsBackCommits ? " holds" : "");
        }
        return text;
    }

    // One examination of a group, and the replacement of its primary that may follow. PrimaryReplacement decides; this class carries out.
    class GroupExamination final : private ReplacementContext {
    public:
        GroupExamination(PromotionCoordinator& promotionCoordinator, ServiceName service)
            : coordinator(promotionCoordinator)
            , proxy(promotionCoordinator.sessionProxy())
            , service(std::move(service))
            , commands(proxy.ioContext(), proxy.backendCodec())
        {
        }

        ExaminationResult run(std::string_view reason)
        {
            this->examine(reason);
            return this->isPrimaryServingOthers ? ExaminationResult::PrimaryServesOthers : ExaminationResult::Finished;
        }

    private:
        void examine(std::string_view reason)
        {
            const std::optional<PrimaryView> before = this->proxy.directory().findPrimary(this->service);
            const std::vector<ProbedStatus> statuses = this->probe();
            if (this->adoptDiscoveredPrimary(statuses))
                return;
            const bool hasStalledCommits
                = this->proxy.group(this->service)->areCommitsStalled(bootNow()) && this->isPrimaryAheadOfReplicas(statuses);
            const auto primary = before ? std::optional(before->server) : std::nullopt;
            FailoverCause cause = evaluateFailoverCause(statuses, primary, before && before->isSettled, hasStalledCommits,
                this->coordinator.serverListCompleteness().areLapsedEntriesBack());
            if (cause == FailoverCause::PrimaryLost || cause == FailoverCause::CommitsStalled)
                cause = this->confirmCause(statuses, cause);
            this->confirmPrimary(primary, statuses);
            this->proxy.group(this->service)->applyStatusRound(statuses);
            if (cause == FailoverCause::None && !isPromotionIncomplete(statuses))
                return;
            logEvent(LogLevel::Info, cause == FailoverCause::None ? "completing an ended promotion" : "replacing the primary",
                { { "service", this->service.value }, { "cause", failoverCauseName(cause) }, { "reason", reason },
                    { "primary", primary ? primary->value : "" } });
            this->replacePrimary(cause, before, statuses);
        }

        std::vector<ServerEntry> members() const
        {
            std::vector<ServerEntry> entries;
            for (const ServerEntry* entry : this->proxy.directory().possibleMembers(this->service, this->primaryLedAt()))
                entries.push_back(*entry);
            return entries;
        }

        std::vector<ProbedStatus> sendCommands(
            const std::vector<ServerCommand>& serverCommands, Term term, const ServerCommands::SendCheck& maySend = nullptr)
        {
            std::vector<ProbedStatus> statuses = this->commands.sendToAll(serverCommands, term, probeTimeout, maySend);
            this->proxy.group(this->service)->recordReportedLogs(statuses);
            for (size_t index = 0; index < statuses.size(); ++index) {
                ProbedStatus& status = statuses[index];
                status.isRemoved = this->proxy.directory().isRemoved(status.server);
                status.isEvacuated = this->proxy.evacuations().isEvacuated(serverCommands[index].server.dataCentre);
                status.hasLeft = this->proxy.directory().hasLeft(status.server, this->primaryLedAt());
                if (serverCommands[index].command == ReplicationCommand::Status)
                    continue;
                logEvent(LogLevel::Info, "command to a server finished",
                    { { "order", replicationCommandName(serverCommands[index].command) }, { "server", status.server.value },
                        { "outcome", probeOutcomeName(status.outcome) }, { "primary", status.isPrimary }, { "term", status.term.value },
                        { "received", status.receivedLogPoint.position.value }, { "pausedFor", status.pausedForTerm.value } });
            }
            return statuses;
        }

        std::vector<ProbedStatus> sendCommand(const std::vector<ServerEntry>& servers, ReplicationCommand command, Term term)
        {
            std::vector<ServerCommand> serverCommands;
            serverCommands.reserve(servers.size());
            for (const ServerEntry& server : servers)
                serverCommands.push_back({ server, command });
            return this->sendCommands(serverCommands, term);
        }

        std::vector<ProbedStatus> probe() { return this->sendCommand(this->members(), ReplicationCommand::Status, Term {}); }

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
            const TimePoint firstProbedAt = bootNow();
            sleepFor(confirmationDelay - reportDelay);
            this->coordinator.fleetInquiry().ask(this->service, false, this->evidence);
            sleepFor(reportDelay);
            const std::vector<ProbedStatus> secondStatuses = this->probe();
            if (this->evidence->hasCommitAfter(firstProbedAt)) {
                logEvent(LogLevel::Info, "primary not replaced: it has acknowledged a commit to a VM since this VM found it failed",
                    { { "service", this->service.value }, { "cause", failoverCauseName(cause) } });
                this->isPrimaryServingOthers = true;
                return FailoverCause::None;
            }
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

        // Replaces the primary that was examined, unless it has been replaced or leads again.
        void replacePrimary(FailoverCause cause, const std::optional<PrimaryView>& examined, const std::vector<ProbedStatus>& statuses)
        {
            const std::optional<HeldPromotionLock> lock = this->coordinator.acquireLock();
            if (!lock)
                return;
            // The directory of a VM that was cut off may be older than the last promotion, which may also have ended since the examination
            // began.
            const Result<void> refreshed = this->coordinator.refreshDirectory();
            const std::optional<PrimaryView> primary = this->proxy.directory().findPrimary(this->service);
            if (!refreshed || primary != examined) {
                logEvent(LogLevel::Info, "promotion cancelled: the primary has changed or the directory could not be read",
                    { { "service", this->service.value }, { "primary", primary ? primary->server.value : "" } });
                this->coordinator.releaseLock(*lock, false);
                return;
            }
            PrimaryReplacement replacement({ this->service, *lock, cause }, *this);
            ReplacementStep step = replacement.start(statuses, bootNow());
            while (step.kind != ReplacementStep::Kind::Finish) {
                if (replacement.needsLock() && !this->coordinator.isUsable(*lock))
                    step = replacement.lockLost(bootNow());
                else
                    step = this->carryOut(step, replacement, *lock);
            }
            if (replacement.result() == ReplacementResult::Replaced)
                this->proxy.metrics().countPromotion();
            this->isPrimaryServingOthers = replacement.result() == ReplacementResult::PrimaryServesOthers;
            const auto& record = replacement.currentState().record;
            logEvent(LogLevel::Info, "replacement ended",
                { { "service", this->service.value }, { "result", replacementResultName(replacement.result()) },
                    { "server", record ? record->server.value : "" }, { "term", record ? record->term.value : 0 },
                    { "fence", lock->record.fencingToken }, { "servers", describeServers(replacement.currentState().statuses) },
                    { "required", describeLogPoint(this->requiredLogPoint(bootNow())) }, { "groupKnown", this->isGroupKnown() },
                    { "everyCommitKnown", this->evidence->isEveryCommitKnown(bootNow()) },
                    { "reports", describeReports(*this->evidence, bootNow()) } });
        }

        // Carries out one step and returns the next one.
        ReplacementStep carryOut(const ReplacementStep& step, PrimaryReplacement& replacement, const HeldPromotionLock& lock)
        {
            switch (step.kind) {
            case ReplacementStep::Kind::SendOrders:
                if (step.asksFleet)
                    this->coordinator.fleetInquiry().ask(this->service, step.holdsBackCommits, this->evidence);
                // After the lock was released, only commands that carry a term are sent.
                return replacement.ordersSent(
                    this->sendOrders(step, replacement.currentState().phase <= PrimaryReplacement::Phase::ResumingAtEnd ? &lock : nullptr),
                    bootNow());
            case ReplacementStep::Kind::ReadDirectory: {
                const Result<void> refreshed = this->coordinator.refreshDirectory();
                if (!refreshed)
                    logEvent(LogLevel::Warning, "reading the server list before a promotion failed; retrying",
                        { { "service", this->service.value }, { "detail", refreshed.error().detail } });
                return replacement.directoryRead(refreshed.has_value(), bootNow());
            }
            case ReplacementStep::Kind::RecordDecision:
                return replacement.decisionRecorded(this->recordDecision(*step.record, lock), bootNow());
            case ReplacementStep::Kind::OrderPromotion: {
                const PromotionOrderOutcome outcome = this->coordinator.promotionOrders().promote(this->service, step.record->server,
                    this->proxy.settings().vmId, lock.record.fencingToken, now() + promotionOrderTimeout,
                    [this, &lock] { return this->coordinator.isUsable(lock); });
                return replacement.promotionOrdered(outcome, bootNow());
            }
            case ReplacementStep::Kind::Wait:
                if (step.asksFleet) {
                    sleepUntilBootTime(step.waitUntil - reportDelay);
                    this->coordinator.fleetInquiry().ask(this->service, step.holdsBackCommits, this->evidence);
                }
                sleepUntilBootTime(step.waitUntil);
                return replacement.waited(bootNow());
            case ReplacementStep::Kind::SettlePrimary:
                logEvent(LogLevel::Info, "primary settled",
                    { { "service", this->service.value }, { "server", step.record->server.value }, { "term", step.record->term.value },
                        { "fence", lock.record.fencingToken } });
                this->proxy.updateServerDirectory([&](ServerDirectory& directory) { directory.recordPrimary(*step.record); });
                return replacement.primarySettled(bootNow());
            case ReplacementStep::Kind::ReleaseLock:
                this->releaseLock(step.record, lock, replacement.isResumeUnanswered());
                return replacement.lockReleased(bootNow());
            case ReplacementStep::Kind::Finish:
                break;
            }
            return {};
        }

        // Sends the orders to the servers that are known, each only while the lock, if one is given, allows it. Returns their statuses.
        std::vector<ProbedStatus> sendOrders(const ReplacementStep& step, const HeldPromotionLock* lock)
        {
            std::vector<ServerCommand> serverCommands;
            for (const ReplicationOrder& order : step.orders) {
                if (const ServerEntry* entry = this->proxy.directory().findPossibleMember(order.server))
                    serverCommands.push_back({ *entry, order.command });
            }
            return this->sendCommands(serverCommands, step.term, [this, lock](ReplicationCommand command) {
                if (!lock || command == ReplicationCommand::Status)
                    return true;
                return command == ReplicationCommand::Resume ? lock->mayResumeAt(bootNow()) : this->coordinator.isUsable(*lock);
            });
        }

        // Stores the decision before it takes effect, so that statements wait on every VM instead of failing.
        bool recordDecision(const PrimaryRecord& record, const HeldPromotionLock& lock)
        {
            StoreTransaction transaction;
            transaction.preconditions.push_back(
                { StoreTable::PromotionLocks, promotionLockRowKey(lock.storedVersion.era), lock.storedVersion });
            transaction.puts.push_back({ StoreTable::Fleet, primaryRowKey(this->service), encodePrimary(record) });
            const Result<StoreVersion> stored = this->coordinator.sharedStore().commit(transaction, now() + storeTimeout);
            if (!stored) {
                logEvent(LogLevel::Warning, "recording the promotion failed",
                    { { "service", this->service.value }, { "detail", stored.error().detail } });
                return false;
            }
            this->proxy.updateServerDirectory([&](ServerDirectory& directory) { directory.recordPrimary(record); });
            return true;
        }

        // Stores the record, if there is one, and releases the promotion lock.
        void releaseLock(const std::optional<PrimaryRecord>& record, const HeldPromotionLock& lock, bool isResumeUnanswered)
        {
            if (!record) {
                this->coordinator.releaseLock(lock, isResumeUnanswered);
                return;
            }
            StoreTransaction transaction;
            const std::string lockRowKey = promotionLockRowKey(lock.storedVersion.era);
            transaction.preconditions.push_back({ StoreTable::PromotionLocks, lockRowKey, lock.storedVersion });
            transaction.puts.push_back({ StoreTable::Fleet, primaryRowKey(this->service), encodePrimary(*record) });
            transaction.puts.push_back(
                { StoreTable::PromotionLocks, lockRowKey, encodePromotionLock(lock.releasedAt(bootNow(), isResumeUnanswered)) });
            const Result<StoreVersion> stored = this->coordinator.sharedStore().commit(transaction, now() + storeTimeout);
            if (!stored)
                logEvent(LogLevel::Warning, "the primary leads, but recording the end of the promotion failed",
                    { { "service", this->service.value }, { "detail", stored.error().detail } });
        }

        static void sleepUntilBootTime(TimePoint wakeAt)
        {
            const TimePoint current = bootNow();
            if (current < wakeAt)
                sleepFor(wakeAt - current);
        }

        const ServerDirectory& directory() const override { return this->proxy.directory(); }
        Term lastPrimaryTerm() const override { return this->proxy.group(this->service)->primaryTerm(); }
        TimePoint primaryLedAt() const override { return this->proxy.group(this->service)->lastLedAt(); }
        std::optional<LogPoint> requiredLogPoint(TimePoint time) const override
        {
            const std::optional<LogPoint> required = this->proxy.group(this->service)->requiredLogPoint(time);
            return time < this->missingServersLostAt() ? std::max(required, this->evidence->highestAcknowledged()) : required;
        }
        const FleetEvidence& fleetEvidence() const override { return *this->evidence; }
        bool isGroupKnown() const override { return this->primaryLedAt() >= this->coordinator.serverListCompleteness().completeFrom(); }
        TimePoint missingServersLostAt() const override
        {
            // A VM that can ask no other VM leaves no server out.
            if (!this->evidence->hasAnswer(this->proxy.settings().vmId))
                return TimePoint::max();
            const TimePoint ledAt = std::max(this->primaryLedAt(), this->evidence->primaryLedAt().value_or(TimePoint {}));
            return std::max(ledAt, this->coordinator.fleetInquiry().remembersFrom()) + GroupTracker::lostCommitDelay;
        }

        PromotionCoordinator& coordinator;
        SessionProxy& proxy;
        ServiceName service;
        ServerCommands commands;
        std::shared_ptr<FleetEvidence> evidence = std::make_shared<FleetEvidence>();
        bool isPrimaryServingOthers = false;
    };

}

ExaminationResult runGroupExamination(PromotionCoordinator& promotionCoordinator, const ServiceName& service, std::string_view reason)
{
    return GroupExamination(promotionCoordinator, service).run(reason);
}

}
