#include "foxtailtrail/proxy/SuccessionCase.h"

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
    class SuccessionCase {
    public:
        SuccessionCase(SuccessionDuty& duty, ServiceName service)
            : duty(duty)
            , proxy(duty.sessionProxy())
            , service(std::move(service))
            , commands(proxy.ioContext(), proxy.backendCodec())
        {
        }

        void run(std::string_view reason)
        {
            const std::optional<LeaderView> before = this->proxy.directory().leader(this->service);
            const std::vector<ProbedStatus> statuses = this->probe();
            if (this->learnLeader(statuses))
                return;
            const bool stalled = this->proxy.group(this->service)->areCommitsStalled(bootNow()) && this->logsDiffer(statuses);
            const auto leader = before ? std::optional(before->server) : std::nullopt;
            SuccessionCause cause = judgeSuccession(statuses, leader, before && before->settled, stalled);
            if (cause == SuccessionCause::PrimaryLost || cause == SuccessionCause::CommitsStalled)
                cause = this->confirm(statuses, cause);
            this->confirmLeader(leader, statuses);
            this->proxy.group(this->service)->noteRound(statuses);
            if (cause == SuccessionCause::None) {
                this->resumeForgotten(statuses);
                return;
            }
            logEvent(LogLevel::Info, "primary to be replaced",
                { { "service", this->service.value }, { "cause", successionCauseName(cause) }, { "reason", reason },
                    { "primary", leader ? leader->value : "" } });
            this->replace(cause, leader, statuses);
        }

    private:
        std::vector<ServerEntry> members() const
        {
            std::vector<ServerEntry> entries;
            for (const ServerEntry* entry : this->proxy.directory().members(this->service))
                entries.push_back(*entry);
            return entries;
        }

        std::vector<ProbedStatus> ask(const std::vector<ServerEntry>& servers, ServerOrder order, Term term)
        {
            std::vector<ProbedStatus> statuses = this->commands.askAll(servers, order, term, probeTimeout);
            for (ProbedStatus& status : statuses)
                status.removed = this->proxy.directory().isRemoved(status.server);
            return statuses;
        }

        std::vector<ProbedStatus> probe() { return this->ask(this->members(), ServerOrder::Status, Term {}); }

        // Takes a primary that this VM did not know of. Returns true when there is one.
        bool learnLeader(const std::vector<ProbedStatus>& statuses)
        {
            std::optional<BelievedPrimary> believed;
            const std::optional<LeaderView> known = this->proxy.directory().leader(this->service);
            if (known)
                believed = BelievedPrimary { known->server, known->settled, known->term, this->proxy.group(this->service)->primaryTerm() };
            const ProbedStatus* found = unknownPrimary(statuses, believed);
            if (!found)
                return false;
            Term term = found->term;
            if (known && known->server != found->server && term <= known->term)
                term.value = known->term.value + 1;
            if (known)
                term = std::max(term, known->term);
            const LeaderRecord record { this->service, term, found->server, true };
            logEvent(LogLevel::Info, "primary found by its status",
                { { "service", this->service.value }, { "server", record.leader.value }, { "term", found->term.value } });
            bool changed = false;
            this->proxy.changeDirectory([&](ServerDirectory& directory) { changed = directory.recordLeader(record); });
            return changed;
        }

        // Whether the primary holds commits that no replica has received.
        bool logsDiffer(const std::vector<ProbedStatus>& statuses) const
        {
            const std::optional<LeaderView> leader = this->proxy.directory().leader(this->service);
            std::optional<LogPoint> primaryLog;
            std::optional<LogPoint> replicaLog;
            for (const ProbedStatus& status : statuses) {
                if (status.outcome != ProbeOutcome::Answered)
                    continue;
                std::optional<LogPoint>& log = leader && leader->server == status.server ? primaryLog : replicaLog;
                if (!log || *log < status.received)
                    log = status.received;
            }
            return primaryLog && replicaLog && *replicaLog < *primaryLog;
        }

        // Looks again: a primary whose replicas still receive is alive, and only the link of this VM is broken.
        SuccessionCause confirm(const std::vector<ProbedStatus>& first, SuccessionCause cause)
        {
            sleepFor(secondLook);
            const std::vector<ProbedStatus> second = this->probe();
            const std::optional<LeaderView> leader = this->proxy.directory().leader(this->service);
            if (this->learnLeader(second))
                return SuccessionCause::None;
            for (const ProbedStatus& status : second) {
                if (leader && status.server == leader->server) {
                    if (cause == SuccessionCause::PrimaryLost && status.outcome == ProbeOutcome::Answered && status.isPrimary)
                        return SuccessionCause::None;
                    continue;
                }
                const auto earlier
                    = std::find_if(first.begin(), first.end(), [&](const ProbedStatus& each) { return each.server == status.server; });
                const bool bothAnswered
                    = earlier != first.end() && earlier->outcome == ProbeOutcome::Answered && status.outcome == ProbeOutcome::Answered;
                if (bothAnswered && earlier->received < status.received)
                    return SuccessionCause::None;
            }
            return cause;
        }

        // Trusts the primary of the directory again when it leads and no server knows a newer term.
        void confirmLeader(const std::optional<BackendServerId>& leader, const std::vector<ProbedStatus>& statuses)
        {
            const ProbedStatus* newest = newestPrimary(statuses);
            if (!newest || !leader || newest->server != *leader)
                return;
            const bool isNewest = std::all_of(statuses.begin(), statuses.end(),
                [&](const ProbedStatus& status) { return status.outcome != ProbeOutcome::Answered || status.term <= newest->term; });
            if (isNewest)
                this->proxy.group(this->service)->confirmLeader(*newest);
        }

        // Lets replicas receive again that a promoter paused and left behind. Only the holder of a turn knows that no promotion is under
        // way that relies on the pause.
        void resumeForgotten(const std::vector<ProbedStatus>& statuses)
        {
            const bool anyPaused = std::any_of(statuses.begin(), statuses.end(), [](const ProbedStatus& status) {
                return status.outcome == ProbeOutcome::Answered && !status.isPrimary && status.pausedFor != Term {};
            });
            if (!anyPaused)
                return;
            const std::optional<HeldTurn> turn = this->duty.claim();
            if (!turn)
                return;
            logEvent(LogLevel::Info, "replicas resumed", { { "service", this->service.value }, { "fence", turn->record.fence } });
            this->resumeReplicas();
            this->duty.endTurn(*turn);
        }

        // Lets all servers but the primary receive.
        void resumeReplicas()
        {
            const std::optional<LeaderView> leader = this->proxy.directory().leader(this->service);
            std::vector<ServerEntry> replicas = this->members();
            std::erase_if(replicas, [&](const ServerEntry& entry) { return leader && entry.id == leader->server; });
            this->logStatuses("resume", this->commands.askAll(replicas, ServerOrder::Resume, Term {}, probeTimeout));
        }

        // Logs what the servers answered to an order.
        void logStatuses(std::string_view order, const std::vector<ProbedStatus>& statuses) const
        {
            for (const ProbedStatus& status : statuses) {
                logEvent(LogLevel::Info, "server answered",
                    { { "order", order }, { "server", status.server.value }, { "outcome", probeOutcomeName(status.outcome) },
                        { "primary", status.isPrimary }, { "term", status.term.value }, { "received", status.received.position.value },
                        { "pausedFor", status.pausedFor.value } });
            }
        }

        // Whether a server certainly works for nobody: its machine refuses connections, or it is silent here and in the shared list. A
        // server that is silent here only may still serve VMs and replicas on its side of a partition.
        bool isGone(const std::optional<BackendServerId>& server, const std::vector<ProbedStatus>& statuses) const
        {
            if (!server)
                return true;
            const auto found
                = std::find_if(statuses.begin(), statuses.end(), [&](const ProbedStatus& status) { return status.server == *server; });
            if (found == statuses.end() || found->outcome == ProbeOutcome::Refused)
                return true;
            return found->outcome == ProbeOutcome::Silent && this->proxy.directory().isRemoved(*server);
        }

        void replace(SuccessionCause cause, const std::optional<BackendServerId>& oldLeader, const std::vector<ProbedStatus>& statuses)
        {
            const std::optional<HeldTurn> turn = this->duty.claim();
            if (!turn)
                return;
            // The view of a VM that was cut off may be older than the last promotion.
            const std::optional<LeaderView> before = this->proxy.directory().leader(this->service);
            const Result<void> refreshed = this->duty.refreshRecords();
            const std::optional<LeaderView> after = this->proxy.directory().leader(this->service);
            if (!refreshed || (after != before && after && after->settled)) {
                logEvent(LogLevel::Info, "promotion not needed",
                    { { "service", this->service.value }, { "primary", after ? after->server.value : "" } });
                this->duty.endTurn(*turn);
                return;
            }
            Term term = this->proxy.group(this->service)->primaryTerm();
            for (const ProbedStatus& status : statuses)
                term = std::max({ term, status.term, status.pausedFor });
            if (const LeaderRecord* record = this->proxy.directory().leaderRecord(this->service))
                term = std::max(term, record->term);
            ++term.value;

            if (cause == SuccessionCause::Unfinished && this->abandonPromotion(term, *turn))
                return;

            // Fence: no commit is acknowledged by the old primary once its replicas do not receive.
            std::vector<ServerEntry> replicas = this->members();
            std::erase_if(replicas, [&](const ServerEntry& entry) { return oldLeader && entry.id == *oldLeader; });
            std::vector<BackendServerId> failed;
            while (turn->mayActAt(bootNow())) {
                const std::optional<ProbedStatus> successor = this->fence(replicas, oldLeader, statuses, term, failed, *turn);
                if (!successor)
                    break;
                const std::optional<ProbedStatus> confirmed = this->closeLog(*successor, replicas, oldLeader, term);
                if (!confirmed)
                    continue;
                if (this->promote(*confirmed, oldLeader, statuses, term, *turn))
                    return;
                failed.push_back(confirmed->server);
            }
            this->commands.askAll(replicas, ServerOrder::Resume, Term {}, probeTimeout);
            this->duty.endTurn(*turn);
            logEvent(LogLevel::Warning, "promotion given up", { { "service", this->service.value }, { "fence", turn->record.fence } });
        }

        // Ends a promotion that was decided and never took effect: the primary of before still leads. Returns false when none leads.
        bool abandonPromotion(Term term, const HeldTurn& turn)
        {
            const std::vector<ProbedStatus> statuses = this->probe();
            const ProbedStatus* standing = newestPrimary(statuses);
            if (!standing || standing->draining || standing->removed)
                return false;
            logEvent(LogLevel::Info, "promotion abandoned, the primary leads",
                { { "service", this->service.value }, { "server", standing->server.value }, { "fence", turn.record.fence } });
            return this->settle(LeaderRecord { this->service, term, standing->server, false }, false, std::nullopt, turn);
        }

        // Pauses the replicas and chooses one. Blocks until there is a choice or the turn is over.
        std::optional<ProbedStatus> fence(const std::vector<ServerEntry>& replicas, const std::optional<BackendServerId>& oldLeader,
            const std::vector<ProbedStatus>& statuses, Term& term, const std::vector<BackendServerId>& failed, const HeldTurn& turn)
        {
            const TimePoint begun = bootNow();
            while (turn.mayActAt(bootNow())) {
                std::vector<ProbedStatus> paused = this->ask(replicas, ServerOrder::Pause, term);
                this->pausedAt = bootNow();
                this->logStatuses("pause", paused);
                if (!verifyPause(paused, term)) {
                    this->demoteOthers(replicas, paused, term);
                    sleepFor(leadPollInterval);
                    continue;
                }
                std::erase_if(paused,
                    [&](const ProbedStatus& status) { return std::find(failed.begin(), failed.end(), status.server) != failed.end(); });
                const bool missingAreLost = bootNow() >= begun + lostReplicaTime && this->isGone(oldLeader, statuses)
                    && std::all_of(paused.begin(), paused.end(), [&](const ProbedStatus& status) {
                           return status.outcome == ProbeOutcome::Answered || this->isGone(status.server, paused);
                       });
                const SuccessorChoice choice = chooseSuccessor(paused, this->proxy.group(this->service)->acknowledged(), missingAreLost);
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
        std::optional<ProbedStatus> closeLog(
            const ProbedStatus& chosen, std::vector<ServerEntry>& replicas, const std::optional<BackendServerId>& oldLeader, Term term)
        {
            std::optional<ProbedStatus> stopped;
            const ServerEntry* old = oldLeader ? this->proxy.directory().find(*oldLeader) : nullptr;
            if (old) {
                stopped = this->ask({ *old }, ServerOrder::Demote, term).front();
                this->logStatuses("demote", { *stopped });
            }
            const Result<void> refreshed = this->duty.refreshRecords();
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
            const std::vector<ProbedStatus> paused = this->ask(newcomers, ServerOrder::Pause, term);
            this->logStatuses("pause", paused);
            replicas.insert(replicas.end(), newcomers.begin(), newcomers.end());
            return confirmSuccessor(chosen, paused, stopped);
        }

        // Makes replicas of servers that still lead in an older term, so that they can be paused.
        void demoteOthers(const std::vector<ServerEntry>& replicas, const std::vector<ProbedStatus>& statuses, Term term)
        {
            for (const ProbedStatus& status : statuses) {
                const auto entry
                    = std::find_if(replicas.begin(), replicas.end(), [&](const ServerEntry& each) { return each.id == status.server; });
                if (status.isPrimary && entry != replicas.end())
                    this->commands.askAll({ *entry }, ServerOrder::Demote, term, probeTimeout);
            }
        }

        bool promote(const ProbedStatus& successor, const std::optional<BackendServerId>& oldLeader,
            const std::vector<ProbedStatus>& statuses, Term term, const HeldTurn& turn)
        {
            // Every VM learns of the decision before it takes effect, so that statements wait instead of failing.
            LeaderRecord record { this->service, term, successor.server, false };
            StoreChange decision;
            decision.expectations.push_back({ StoreTable::Turns, turnRowKey, turn.storedVersion });
            decision.puts.push_back({ StoreTable::Fleet, leaderRowKey(this->service), encodeLeader(record) });
            const Result<uint64_t> decided = this->duty.sharedStore().commit(decision, now() + storeTimeout);
            if (!decided) {
                logEvent(LogLevel::Warning, "promotion not recorded",
                    { { "service", this->service.value }, { "detail", decided.error().detail } });
                return false;
            }
            this->proxy.changeDirectory([&](ServerDirectory& directory) { directory.recordLeader(record); });

            // A process that does not run serves no reads; any other may serve them until the leases on it have run out.
            const bool oldProcessIsGone = std::any_of(statuses.begin(), statuses.end(), [&](const ProbedStatus& status) {
                return oldLeader && status.server == *oldLeader && status.outcome == ProbeOutcome::Refused;
            });
            if (!oldProcessIsGone)
                sleepUntilBoot(this->pausedAt + leaderLeaseTime - earliestLead);

            PromotionAnswer answer = PromotionAnswer::Unknown;
            while (answer == PromotionAnswer::Unknown && turn.mayActAt(bootNow())) {
                answer = this->duty.promotionOrders().promote(
                    this->service, successor.server, this->proxy.settings().vmId, turn.record.fence, now() + orderTimeout);
                if (answer == PromotionAnswer::Unknown)
                    sleepFor(choicePause);
            }
            if (answer != PromotionAnswer::Accepted)
                return false;
            return this->settle(record, true, oldLeader, turn);
        }

        // Waits until the successor leads, deposes the old primary and tells all VMs.
        bool settle(LeaderRecord record, bool promoted, const std::optional<BackendServerId>& oldLeader, const HeldTurn& turn)
        {
            const ServerEntry* entry = this->proxy.directory().find(record.leader);
            const TimePoint deadline = bootNow() + leadTimeout;
            bool leads = false;
            while (entry && !leads && bootNow() < deadline) {
                const std::vector<ProbedStatus> statuses = this->commands.askAll({ *entry }, ServerOrder::Status, Term {}, probeTimeout);
                leads = statuses.front().outcome == ProbeOutcome::Answered && statuses.front().isPrimary;
                if (leads)
                    record.term = std::max(record.term, statuses.front().term);
                else
                    sleepFor(leadPollInterval);
                entry = this->proxy.directory().find(record.leader);
            }
            if (!leads)
                return false;
            record.settled = true;
            // The promotion ends the pause of its own server only.
            this->proxy.changeDirectory([&](ServerDirectory& directory) { directory.recordLeader(record); });
            this->proxy.metrics().countPromotion();
            logEvent(LogLevel::Info, "primary replaced",
                { { "service", this->service.value }, { "server", record.leader.value }, { "term", record.term.value },
                    { "fence", turn.record.fence } });
            this->resumeReplicas();
            StoreChange change;
            change.expectations.push_back({ StoreTable::Turns, turnRowKey, turn.storedVersion });
            // The successor's own entry settles the record for the other VMs, unless the promotion changed nothing.
            if (!promoted)
                change.puts.push_back({ StoreTable::Fleet, leaderRowKey(this->service), encodeLeader(record) });
            // The fence number stays; the end of the turn lies in the past of the store's clock.
            const TurnRecord ended = endTurn(turn.record, turn.record.endsAtMs - toMilliseconds(turnTime));
            change.puts.push_back({ StoreTable::Turns, turnRowKey, encodeTurn(ended) });
            const Result<uint64_t> stored = this->duty.sharedStore().commit(change, now() + storeTimeout);
            if (!stored)
                logEvent(LogLevel::Warning, "promotion settled but not recorded",
                    { { "service", this->service.value }, { "detail", stored.error().detail } });
            if (oldLeader) {
                if (const ServerEntry* old = this->proxy.directory().find(*oldLeader))
                    this->logStatuses("demote", this->commands.askAll({ *old }, ServerOrder::Demote, record.term, probeTimeout));
            }
            return true;
        }

        static void sleepUntilBoot(TimePoint time)
        {
            const TimePoint current = bootNow();
            if (current < time)
                sleepFor(time - current);
        }

        SuccessionDuty& duty;
        SessionProxy& proxy;
        ServiceName service;
        ServerCommands commands;
        // When all replicas that answered had stopped to receive.
        TimePoint pausedAt {};
    };

}

void runSuccessionCase(SuccessionDuty& duty, const ServiceName& service, std::string_view reason)
{
    SuccessionCase(duty, service).run(reason);
}

}
