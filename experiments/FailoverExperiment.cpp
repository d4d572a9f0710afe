#include "experiments/Experiments.h"
#include "experiments/GroupWatcher.h"

#include <memory>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Duration replicationLag = milliseconds(20);
    constexpr TimePoint faultAt { seconds(5) };
    // The fault occurs at a random time within one probe interval.
    constexpr Duration faultSpread = milliseconds(100);
    constexpr Duration runLength = seconds(40);
    // Intervals and timeouts of the daemon.
    constexpr Duration decisionInterval = milliseconds(20);
    constexpr Duration commandTimeout = milliseconds(200);
    constexpr Duration writeInterval = milliseconds(10);
    constexpr Duration writeTimeout = seconds(5);
    // The baseline claims the promotion in the store: the latency of one store transaction and its timeout.
    constexpr Duration storeLatency = milliseconds(5);
    constexpr Duration storeTimeout = milliseconds(500);
    constexpr Duration storeOutageDuration = seconds(20);

    const Measure serviceGap { "gap from the fault to the first durable write", "ms", TargetKind::AtMost, 3000, true };
    const Measure detection { "part: detection and turn", "ms" };
    const Measure fencing { "part: fencing", "ms" };
    const Measure promotion { "part: promotion", "ms" };
    const Measure resumption { "part: learning, following and first durable write", "ms" };

    enum class Fault : uint8_t { PrimaryKilled, PrimaryIsolated, PromoterCrashes };
    enum class Policy : uint8_t { GroupTerms, StoreClaimFirst };

    // The failover control of one VM: its watcher and its promotion, which is ordered by the group's terms.
    class Promoter {
    public:
        Promoter(Simulation& run, BackendGroup& target, const Deployment& deployment, uint32_t vm)
            : watcher(run, target, deployment, vm, std::make_shared<MajorityAcknowledgement>())
            , promotion(this->watcher.vmId().value)
            , simulation(run)
            , group(target)
            , rendezvousRank(vm)
        {
        }

        // Returns whether a due promotion may start.
        std::function<bool()> mayStart = [] { return true; };
        // Called whenever the phase may have changed.
        std::function<void(const Promoter&)> onPhaseChange;

        void startDueCommands()
        {
            const TimePoint now = this->simulation.now();
            if (this->watcher.hasCrashed || this->promotion.isRunning())
                return;
            if (const auto due = this->watcher.monitor.duePromotion(now)) {
                if (!this->mayStart())
                    return;
                PromotionRequest request { {}, due->highestTerm, due->leavingPrimary, due->successor, this->rendezvousRank };
                for (size_t server = 0; server < BackendGroup::serverCount; ++server)
                    request.members.push_back({ BackendGroup::id(server) });
                this->perform(this->promotion.start(request, now));
            } else if (this->rendezvousRank == 0) {
                for (const DueFollowCommand& follow : this->watcher.monitor.dueFollowCommands(now))
                    this->run(FollowPrimary { follow.server, follow.term, follow.primary });
            }
        }

        GroupWatcher watcher;
        Promotion promotion;

    private:
        void perform(const std::vector<PromotionEffect>& effects)
        {
            this->onPhaseChange(*this);
            for (const PromotionEffect& effect : effects)
                std::visit([this](const auto& typed) { this->run(typed); }, effect);
        }

        void handle(const PromotionEvent& event)
        {
            if (!this->watcher.hasCrashed)
                this->perform(this->promotion.handle(event, this->simulation.now()));
        }

        void run(const FenceServer& effect)
        {
            this->sendCommand(PromotionCommand::Fence, effect.server, effect.term,
                [this, effect](FakeBackend& server) { return this->group.fence(server, effect.term, this->promotion.promoter()); });
        }

        void run(const PromoteServer& effect)
        {
            this->sendCommand(PromotionCommand::Promote, effect.server, effect.term,
                [this, effect](FakeBackend& server) { return this->group.promote(server, effect.term, this->promotion.promoter()); });
        }

        void run(const FollowPrimary& effect)
        {
            this->sendCommand(PromotionCommand::Follow, effect.server, effect.term, [this, effect](FakeBackend& server) {
                return this->group.follow(server, effect.term, BackendGroup::indexOf(effect.primary));
            });
        }

        void run(const ReadStatus& effect)
        {
            this->group.call(
                this->watcher.dataCentre(), BackendGroup::indexOf(effect.server), commandTimeout, [](FakeBackend&) { return true; },
                [this, effect](CommandOutcome, std::optional<ServerStatus> status) {
                    this->handle(StatusReply { effect.server, status });
                });
        }

        void run(const RecordPrimaryHint&) { }

        void run(const WaitUntil& effect)
        {
            this->simulation.scheduleAt(effect.time, [this] { this->handle(TimeReached {}); });
        }

        void sendCommand(
            PromotionCommand command, const BackendServerId& server, Term term, const std::function<bool(FakeBackend&)>& operation)
        {
            const TimePoint sentAt = this->simulation.now();
            this->group.call(this->watcher.dataCentre(), BackendGroup::indexOf(server), commandTimeout, operation,
                [this, command, server, term, sentAt](CommandOutcome outcome, std::optional<ServerStatus> status) {
                    this->handle(CommandReply { command, server, term, outcome, status });
                    if (status)
                        this->watcher.monitor.onProbe({ server, sentAt, this->simulation.now(), status });
                });
        }

        Simulation& simulation;
        BackendGroup& group;
        unsigned rendezvousRank;
    };

    class FailoverRun {
    public:
        FailoverRun(const Deployment& deployment, Policy policy, Fault fault, bool isStoreDown, uint64_t seed)
            : simulation(seed)
            , group(this->simulation, deployment, replicationLag)
            , faultInjectedAt(faultAt + Duration(this->simulation.randomBelow(faultSpread.count())))
            , storeUpAt(isStoreDown ? this->faultInjectedAt + storeOutageDuration : TimePoint())
        {
            std::vector<GroupWatcher*> watchers;
            for (uint32_t vm = 0; vm < Deployment::dataCentreCount; ++vm) {
                this->promoters.push_back(std::make_unique<Promoter>(this->simulation, this->group, deployment, vm));
                watchers.push_back(&this->promoters.back()->watcher);
            }
            for (uint32_t vm = 0; vm < Deployment::dataCentreCount; ++vm) {
                Promoter& promoter = *this->promoters[vm];
                promoter.watcher.start(watchers);
                promoter.onPhaseChange = [this, fault](const Promoter& changed) { this->recordPhase(changed, fault); };
                if (policy == Policy::StoreClaimFirst)
                    promoter.mayStart = [this, vm] { return this->claimInStore(vm); };
                this->simulation.scheduleEvery(decisionInterval, [&promoter] { promoter.startDueCommands(); });
            }
            this->simulation.scheduleAt(this->faultInjectedAt, [this, fault] {
                this->group.servers[0].isDown = fault != Fault::PrimaryIsolated;
                this->group.servers[0].isIsolated = fault == Fault::PrimaryIsolated;
            });
            this->simulation.scheduleEvery(writeInterval, [this] { this->write(); });
            this->simulation.runUntil(TimePoint(runLength));
        }

        void report(const RunId& run, bool hasTarget, Report& report) const
        {
            const TimePoint end(runLength);
            const TimePoint first = this->firstDurableWriteAt.value_or(end);
            report.add(run, hasTarget ? serviceGap : Measure { serviceGap.name, serviceGap.unit },
                toFractionalMilliseconds(first - this->faultInjectedAt));
            const TimePoint fence = this->fencingAt.value_or(end);
            const TimePoint promote = this->promotingAt.value_or(end);
            const TimePoint known = this->promotedAt.value_or(end);
            report.add(run, detection, toFractionalMilliseconds(fence - this->faultInjectedAt));
            report.add(run, fencing, toFractionalMilliseconds(promote - fence));
            report.add(run, promotion, toFractionalMilliseconds(known - promote));
            report.add(run, resumption, toFractionalMilliseconds(first - known));
        }

    private:
        // Records when the winning promotion enters its phases. With Fault::PromoterCrashes, the promoter crashes 4 ms after it has started
        // fencing.
        void recordPhase(const Promoter& promoter, Fault fault)
        {
            const TimePoint now = this->simulation.now();
            const PromotionPhase phase = promoter.promotion.phase();
            const bool isNewTerm = promoter.promotion.term() != this->recordedTerm;
            if (phase == PromotionPhase::Fencing && isNewTerm && !this->promotedAt) {
                this->recordedTerm = promoter.promotion.term();
                this->fencingAt = now;
                this->promotingAt.reset();
                if (fault == Fault::PromoterCrashes && !this->hasPromoterCrashed)
                    this->simulation.scheduleAfter(milliseconds(4), [this, &promoter] { this->crashPromoter(promoter); });
            }
            if (isNewTerm && this->recordedTerm != promoter.promotion.term())
                return;
            if (phase == PromotionPhase::Promoting && !this->promotingAt)
                this->promotingAt = now;
            if (promoter.promotion.primary() && !this->promotedAt)
                this->promotedAt = now;
        }

        void crashPromoter(const Promoter& crashing)
        {
            if (std::exchange(this->hasPromoterCrashed, true))
                return;
            for (const auto& promoter : this->promoters) {
                if (promoter.get() == &crashing)
                    promoter->watcher.hasCrashed = true;
            }
        }

        // Baseline: returns whether the claim of the VM has been written to the store, which must precede a promotion.
        bool claimInStore(uint32_t vm)
        {
            const TimePoint now = this->simulation.now();
            TimePoint& grantedAt = this->claimGrantedAt[vm];
            if (grantedAt == TimePoint())
                grantedAt = now + storeLatency;
            // A failed attempt is repeated after its timeout.
            while (grantedAt <= now && grantedAt < this->storeUpAt)
                grantedAt += storeTimeout;
            return grantedAt <= now;
        }

        // Sends a caller's write through a VM that does not crash, using the view that this VM has published.
        void write()
        {
            GroupWatcher& entry = this->promoters[1]->watcher;
            const GroupView& view = entry.view();
            if (this->firstDurableWriteAt || this->simulation.now() < this->faultInjectedAt || !view.primary)
                return;
            const auto commit = std::make_shared<std::optional<LogPoint>>();
            this->group.call(
                entry.dataCentre(), BackendGroup::indexOf(*view.primary), commandTimeout,
                [this, commit, term = view.term](FakeBackend& server) {
                    *commit = this->group.commit(server, term);
                    return commit->has_value();
                },
                [this, commit, &entry](CommandOutcome outcome, const std::optional<ServerStatus>&) {
                    if (outcome != CommandOutcome::Done)
                        return;
                    entry.awaitDurability(**commit, this->simulation.now() + writeTimeout, [this](Durability durability) {
                        if (durability == Durability::Durable && !this->firstDurableWriteAt)
                            this->firstDurableWriteAt = this->simulation.now();
                    });
                });
        }

        Simulation simulation;
        BackendGroup group;
        TimePoint faultInjectedAt;
        TimePoint storeUpAt;
        std::vector<std::unique_ptr<Promoter>> promoters;
        std::array<TimePoint, Deployment::dataCentreCount> claimGrantedAt;
        Term recordedTerm;
        bool hasPromoterCrashed = false;
        std::optional<TimePoint> fencingAt;
        std::optional<TimePoint> promotingAt;
        std::optional<TimePoint> promotedAt;
        std::optional<TimePoint> firstDurableWriteAt;
    };

}

void runFailoverExperiment(const Deployment& deployment, uint64_t seed, Report& report)
{
    struct Scenario {
        const char* name;
        Fault fault;
    };
    const Scenario scenarios[] = { { "primary killed", Fault::PrimaryKilled }, { "primary cut off", Fault::PrimaryIsolated },
        { "primary killed, promoter dies", Fault::PromoterCrashes } };
    for (const Scenario& scenario : scenarios) {
        for (const bool isStoreDown : { false, true }) {
            const std::string name = std::string(scenario.name) + (isStoreDown ? ", store down" : ", store up");
            FailoverRun(deployment, Policy::StoreClaimFirst, scenario.fault, isStoreDown, seed)
                .report({ "failover", deployment.name, name, "store claim first" }, true, report);
            FailoverRun(deployment, Policy::GroupTerms, scenario.fault, isStoreDown, seed)
                .report({ "failover", deployment.name, name, "Promotion" }, true, report);
        }
    }
}

}
